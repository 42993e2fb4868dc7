//! Which place holds what.

use {
    crate::{CachedPart, Change, PartKey},
    std::{
        collections::{BTreeMap, HashMap},
        net::SocketAddr,
        time::Duration,
    },
};

/// What one place holds of a part.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Holding {
    place: SocketAddr,
    tokens: u32,
    noted_at: Duration,
}

/// Which place holds what, by part.
#[derive(Clone, Debug, Default)]
pub(crate) struct HeldParts {
    parts: HashMap<PartKey, Vec<Holding>>,
}

impl HeldParts {
    /// Notes what a place holds of a part. Returns the tokens that it held before.
    pub(crate) fn set(&mut self, place: SocketAddr, held: CachedPart, now: Duration) -> u32 {
        let CachedPart { part, tokens } = held;
        if tokens == 0 {
            return self.remove(place, part);
        }
        let holding = Holding {
            place,
            tokens,
            noted_at: now,
        };
        let holdings = self.parts.entry(part).or_default();
        if let Some(known) = holdings.iter_mut().find(|it| it.place == place) {
            return std::mem::replace(known, holding).tokens;
        }
        holdings.push(holding);
        0
    }

    /// Places that hold something of a part, and how many tokens.
    pub(crate) fn places(&self, part: PartKey) -> impl Iterator<Item = (SocketAddr, u32)> + Clone {
        let holdings = self.parts.get(&part).into_iter().flatten();
        holdings.map(|holding| (holding.place, holding.tokens))
    }

    /// Tokens that a place holds of a part.
    pub(crate) fn at(&self, place: SocketAddr, part: PartKey) -> u32 {
        let mut places = self.places(part);
        let held = places.find(|(holder, _)| *holder == place);
        held.map_or(0, |(_, tokens)| tokens)
    }

    /// Drops what was noted before `since`, except at the places that `stays` names.
    pub(crate) fn expire<Stays>(&mut self, since: Duration, stays: Stays)
    where
        Stays: Fn(SocketAddr) -> bool,
    {
        self.retain(|holding| holding.noted_at >= since || stays(holding.place));
    }

    /// Drops all that a place holds.
    pub(crate) fn clear(&mut self, place: SocketAddr) {
        self.retain(|holding| holding.place != place);
    }

    /// All that the places hold that `wanted` names, as changes.
    pub(crate) fn of_places<Wanted>(&self, wanted: Wanted) -> Vec<Change>
    where
        Wanted: Fn(SocketAddr) -> bool,
    {
        let mut by_place: BTreeMap<SocketAddr, Vec<CachedPart>> = BTreeMap::new();
        for (part, holdings) in &self.parts {
            for holding in holdings.iter().filter(|it| wanted(it.place)) {
                let held = CachedPart {
                    part: *part,
                    tokens: holding.tokens,
                };
                by_place.entry(holding.place).or_default().push(held);
            }
        }
        let changes = by_place.into_iter();
        changes
            .map(|(place, parts)| Change::Held { place, parts })
            .collect()
    }

    fn retain<Stays>(&mut self, stays: Stays)
    where
        Stays: Fn(&Holding) -> bool,
    {
        self.parts.retain(|_, holdings| {
            holdings.retain(&stays);
            !holdings.is_empty()
        });
    }

    fn remove(&mut self, place: SocketAddr, part: PartKey) -> u32 {
        let Some(holdings) = self.parts.get_mut(&part) else {
            return 0;
        };
        let position = holdings.iter().position(|it| it.place == place);
        let before = position.map_or(0, |position| holdings.swap_remove(position).tokens);
        if holdings.is_empty() {
            self.parts.remove(&part);
        }
        before
    }
}
