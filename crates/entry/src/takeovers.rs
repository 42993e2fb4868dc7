//! Which silent instances' places this instance follows, so that each takeover is logged once.

use {catalog::InstanceId, std::collections::BTreeMap};

/// The beginning or the end of a takeover.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TakeoverChange {
    /// Instance that the places are assigned to.
    pub owner: InstanceId,
    /// Whether this instance follows them from now on; otherwise it no longer does.
    pub has_begun: bool,
    /// Number of places that it follows from now on, or followed last.
    pub places_count: usize,
}

/// Number of places that this instance follows in place of each silent owner.
#[derive(Clone, Debug, Default)]
pub struct Takeovers {
    places_counts: BTreeMap<InstanceId, usize>,
}

impl Takeovers {
    /// Replaces what is followed by one entry for each place, the instance that it is assigned to.
    /// Returns the takeovers that have begun or ended, in order of the names.
    pub fn update<Owners>(&mut self, owners: Owners) -> Vec<TakeoverChange>
    where
        Owners: IntoIterator<Item = InstanceId>,
    {
        let mut places_counts: BTreeMap<InstanceId, usize> = BTreeMap::new();
        for owner in owners {
            *places_counts.entry(owner).or_default() += 1;
        }
        let former = std::mem::replace(&mut self.places_counts, places_counts);
        let mut changes = difference(&former, &self.places_counts, false);
        changes.extend(difference(&self.places_counts, &former, true));
        changes.sort_by(|left, right| left.owner.cmp(&right.owner));
        changes
    }
}

/// Returns a change for each owner in `these` that is not in `others`.
fn difference(
    these: &BTreeMap<InstanceId, usize>,
    others: &BTreeMap<InstanceId, usize>,
    has_begun: bool,
) -> Vec<TakeoverChange> {
    let missing = these
        .iter()
        .filter(|(owner, _)| !others.contains_key(*owner));
    let changes = missing.map(|(owner, places_count)| TakeoverChange {
        owner: owner.clone(),
        has_begun,
        places_count: *places_count,
    });
    changes.collect()
}
