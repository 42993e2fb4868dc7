//! The regions of the failure domains.

use {
    catalog::{FailureDomainId, RegionId},
    serde::Deserialize,
    std::collections::BTreeMap,
};

/// The region of each failure domain of the deployment.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(transparent)]
pub struct Regions {
    by_domain: BTreeMap<FailureDomainId, RegionId>,
}

impl Regions {
    /// The region of a failure domain; `None` if it is not known.
    #[must_use]
    pub fn of(&self, failure_domain: &str) -> Option<&RegionId> {
        self.by_domain.get(failure_domain)
    }

    /// Whether a failure domain is in this region.
    #[must_use]
    pub fn contain(&self, region: &str) -> bool {
        self.by_domain.values().any(|it| it == region)
    }

    /// Adds a failure domain, unless its region is known.
    pub fn add(&mut self, failure_domain: FailureDomainId, region: RegionId) {
        self.by_domain.entry(failure_domain).or_insert(region);
    }
}

impl FromIterator<(FailureDomainId, RegionId)> for Regions {
    fn from_iter<Domains>(domains: Domains) -> Self
    where
        Domains: IntoIterator<Item = (FailureDomainId, RegionId)>,
    {
        Self {
            by_domain: domains.into_iter().collect(),
        }
    }
}
