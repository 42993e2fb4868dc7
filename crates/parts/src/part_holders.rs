//! The places that hold each part.

use {
    crate::{CachedPart, Change, PartKey},
    std::{
        collections::{BTreeMap, HashMap, HashSet},
        net::SocketAddr,
        time::Duration,
    },
};

/// A place that holds some or all tokens of a part.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Holder {
    place: SocketAddr,
    tokens: u32,
    reported_at: Duration,
}

/// The places that hold each part, and the number of tokens that they hold.
#[derive(Clone, Debug, Default)]
pub(crate) struct PartHolders {
    parts: HashMap<PartKey, Vec<Holder>>,
}

impl PartHolders {
    /// Sets the number of tokens that a place holds of a part. Returns the previous number.
    pub(crate) fn set(&mut self, place: SocketAddr, held: CachedPart, now: Duration) -> u32 {
        let CachedPart { part, tokens } = held;
        if tokens == 0 {
            return self.remove(place, part);
        }
        let holder = Holder {
            place,
            tokens,
            reported_at: now,
        };
        let holders = self.parts.entry(part).or_default();
        if let Some(known) = holders.iter_mut().find(|it| it.place == place) {
            return std::mem::replace(known, holder).tokens;
        }
        holders.push(holder);
        0
    }

    /// Places that hold a part, each with the number of tokens that it holds.
    pub(crate) fn places(&self, part: PartKey) -> impl Iterator<Item = (SocketAddr, u32)> + Clone {
        let holders = self.parts.get(&part).into_iter().flatten();
        holders.map(|holder| (holder.place, holder.tokens))
    }

    /// Number of tokens that a place holds of a part; 0 if it holds none.
    pub(crate) fn tokens_at(&self, place: SocketAddr, part: PartKey) -> u32 {
        let mut places = self.places(part);
        let held = places.find(|(holder, _)| *holder == place);
        held.map_or(0, |(_, tokens)| tokens)
    }

    /// Removes entries reported before `cutoff`, except those of places for which `keep` returns
    /// true.
    pub(crate) fn expire<Keep>(&mut self, cutoff: Duration, keep: Keep)
    where
        Keep: Fn(SocketAddr) -> bool,
    {
        self.retain(|holder| holder.reported_at >= cutoff || keep(holder.place));
    }

    /// Removes all entries of a place, and returns the parts that it held.
    pub(crate) fn clear(&mut self, place: SocketAddr) -> HashSet<PartKey> {
        let is_held = |holders: &Vec<Holder>| holders.iter().any(|it| it.place == place);
        let held = self.parts.iter().filter(|(_, holders)| is_held(holders));
        let held = held.map(|(part, _)| *part).collect();
        self.retain(|holder| holder.place != place);
        held
    }

    /// Returns everything that the places hold for which `is_wanted` returns true, as one change
    /// for each place.
    pub(crate) fn changes_of<Wanted>(&self, is_wanted: Wanted) -> Vec<Change>
    where
        Wanted: Fn(SocketAddr) -> bool,
    {
        let mut by_place: BTreeMap<SocketAddr, Vec<CachedPart>> = BTreeMap::new();
        for (part, holders) in &self.parts {
            for holder in holders.iter().filter(|it| is_wanted(it.place)) {
                let held = CachedPart {
                    part: *part,
                    tokens: holder.tokens,
                };
                by_place.entry(holder.place).or_default().push(held);
            }
        }
        let changes = by_place.into_iter();
        changes
            .map(|(place, parts)| Change::Held { place, parts })
            .collect()
    }

    fn retain<Keep>(&mut self, keep: Keep)
    where
        Keep: Fn(&Holder) -> bool,
    {
        self.parts.retain(|_, holders| {
            holders.retain(&keep);
            !holders.is_empty()
        });
    }

    fn remove(&mut self, place: SocketAddr, part: PartKey) -> u32 {
        let Some(holders) = self.parts.get_mut(&part) else {
            return 0;
        };
        let index = holders.iter().position(|it| it.place == place);
        let before = index.map_or(0, |index| holders.swap_remove(index).tokens);
        if holders.is_empty() {
            self.parts.remove(&part);
        }
        before
    }
}
