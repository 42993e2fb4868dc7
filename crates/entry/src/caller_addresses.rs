//! The addresses that callers are told to use.

use {
    crate::MemberRecord,
    catalog::FailureDomainId,
    routes::{Homes, Regions},
    std::net::SocketAddr,
};

/// What a caller that asks for addresses says of itself; empty where it says nothing.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct AddressQuery {
    /// Host that it wants to call.
    pub host: String,
    /// Region that it is in.
    pub region: String,
}

/// An instance that callers may use.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct CallerAddress {
    /// Address for callers.
    pub(crate) address: SocketAddr,
    /// Failure domain of the instance.
    pub(crate) failure_domain: FailureDomainId,
}

impl From<&MemberRecord> for CallerAddress {
    fn from(record: &MemberRecord) -> Self {
        Self {
            address: record.address,
            failure_domain: record.failure_domain.clone(),
        }
    }
}

/// Addresses for calls with these homes by a caller in `region`: those of instances in the homes. If
/// there are none, those in the caller's region, and otherwise all: at any of them, the call still
/// reaches nothing outside its homes.
pub(crate) fn addresses_within(
    homes: &Homes,
    regions: &Regions,
    region: &str,
    all: &[CallerAddress],
) -> Vec<SocketAddr> {
    let is_home = |it: &CallerAddress| homes.allow(regions, &it.failure_domain);
    let is_near = |it: &CallerAddress| {
        let own = regions.of(&it.failure_domain);
        own.is_some_and(|own| own == region)
    };
    let chosen = [select(all, is_home), select(all, is_near)];
    let chosen = chosen.into_iter().find(|chosen| !chosen.is_empty());
    chosen.unwrap_or_else(|| select(all, |_| true))
}

fn select<Takes>(all: &[CallerAddress], takes: Takes) -> Vec<SocketAddr>
where
    Takes: Fn(&CallerAddress) -> bool,
{
    let selected = all.iter().filter(|it| takes(it));
    selected.map(|it| it.address).collect()
}
