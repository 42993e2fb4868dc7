//! Homes: the regions that a call, and what is kept of its prompt, may reach.

use {
    crate::{Account, Regions, Route},
    catalog::RegionId,
    std::collections::BTreeSet,
};

/// The regions that calls of a route or client account may reach. Without any stated, they may reach all.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Homes {
    /// `None` if calls may reach every region.
    regions: Option<BTreeSet<RegionId>>,
}

impl Homes {
    /// Homes in these regions. An empty list allows no region.
    #[must_use]
    pub fn new(regions: impl IntoIterator<Item = RegionId>) -> Self {
        Self {
            regions: Some(regions.into_iter().collect()),
        }
    }

    /// Homes of a call: where both its route and its client account have some, both bind.
    #[must_use]
    pub fn of_call(route: &Route, account: Option<&Account>) -> Self {
        match account {
            Some(account) => route.homes.both(&account.homes),
            None => route.homes.clone(),
        }
    }

    /// The homes that both allow.
    #[must_use]
    pub fn both(&self, other: &Self) -> Self {
        let regions = match (&self.regions, &other.regions) {
            (Some(left), Some(right)) => Some(left & right),
            (left, right) => left.as_ref().or(right.as_ref()).cloned(),
        };
        Self { regions }
    }

    /// Whether calls may go to `failure_domain`. One whose region is not known is in no home.
    #[must_use]
    pub fn allow(&self, regions: &Regions, failure_domain: &str) -> bool {
        let Some(homes) = &self.regions else {
            return true;
        };
        let region = regions.of(failure_domain);
        region.is_some_and(|region| homes.contains(region))
    }

    /// The regions in order; `None` if calls may reach all.
    #[must_use]
    pub fn regions(&self) -> Option<&BTreeSet<RegionId>> {
        self.regions.as_ref()
    }

    /// Whether calls may reach no region.
    #[must_use]
    pub fn are_nowhere(&self) -> bool {
        self.regions.as_ref().is_some_and(BTreeSet::is_empty)
    }
}
