//! Which feeds an instance reads.

use {
    crate::{Aggregators, MemberRecord},
    catalog::{FailureDomainId, InstanceId},
    feed::Scope,
    std::{collections::HashSet, net::SocketAddr},
};

/// A feed that an instance reads.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum FeedSource {
    /// The own feed of another instance.
    Instance(InstanceId, SocketAddr),
    /// The merged feed of an aggregator of a failure domain.
    Merged(FailureDomainId, Scope),
}

/// Which feeds an instance reads.
///
/// Without aggregators, it reads those of all others. With them, an aggregator reads those of its own
/// failure domain and a merged one of each other domain, and the other instances read the merged feed
/// of an aggregator of their domain.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ReadingPlan {
    /// Whether the instance reads for others.
    pub is_aggregator: bool,
    /// Feeds that it reads.
    pub sources: HashSet<FeedSource>,
}

impl ReadingPlan {
    /// Plans for the instance `own` in `own_domain` among the ready instances `members`.
    #[must_use]
    pub fn new(
        members: &[(InstanceId, MemberRecord)],
        aggregators: &Aggregators,
        own: &str,
        own_domain: &str,
    ) -> Self {
        let is_aggregator = aggregators.contains(own);
        let reads_instance = |record: &MemberRecord| {
            aggregators.is_empty() || is_aggregator && record.failure_domain == own_domain
        };
        let others = members.iter().filter(|(name, _)| name != own);
        let read = others.filter(|(_, record)| reads_instance(record));
        let instances = read.filter_map(|(name, record)| {
            let feed = record.feed?;
            Some(FeedSource::Instance(name.clone(), feed))
        });
        let mut sources: HashSet<FeedSource> = instances.collect();
        let mut domains: Vec<_> = aggregators.failure_domains().cloned().collect();
        domains.sort();
        if is_aggregator {
            let others = domains.into_iter().filter(|domain| domain != own_domain);
            sources.extend(others.map(|domain| FeedSource::Merged(domain, Scope::Domain)));
        } else {
            // Before the first instance of a domain is ready, its aggregators are those of another one.
            let own_first = domains.iter().find(|domain| *domain == own_domain);
            let domain = own_first.or(domains.first());
            sources.extend(domain.map(|domain| FeedSource::Merged(domain.clone(), Scope::All)));
        }
        Self {
            is_aggregator,
            sources,
        }
    }
}
