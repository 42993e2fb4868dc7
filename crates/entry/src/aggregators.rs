//! Selects the instances of each failure domain that follow the key-value service and read other
//! instances' feeds for their neighbours.

use {
    crate::MemberRecord,
    balance::rendezvous,
    catalog::{FailureDomainId, InstanceId},
    std::{
        cmp::Reverse,
        collections::{BTreeMap, HashMap},
        net::SocketAddr,
    },
};

/// Number of ready instances from which a fleet counts as large: aggregators are used, calls are refused
/// under overload, and engines are compared by unread tokens. With fewer instances, direct reading costs
/// each of them little, and each sees a fair part of the load itself.
pub const MIN_INSTANCES_COUNT: usize = 35;
/// Number of aggregators in each failure domain, so that the loss of one interrupts nothing.
const AGGREGATORS_PER_DOMAIN_COUNT: usize = 2;

/// An instance that reads for others of its failure domain.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Aggregator {
    /// Name of the instance.
    pub name: InstanceId,
    /// Address at which it serves its feed.
    pub feed: SocketAddr,
}

/// The aggregators of every failure domain.
///
/// They follow from the membership records, so that instances with the same view agree without a
/// message. Instances with different views do no harm: any instance can serve what it has read.
///
/// ```
/// use entry::Aggregators;
///
/// let aggregators = Aggregators::select([]);
/// assert!(!aggregators.contains("entry-1"), "small fleets have no aggregators");
/// ```
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Aggregators {
    by_domain: HashMap<FailureDomainId, Vec<Aggregator>>,
}

impl Aggregators {
    /// Selects the aggregators among the ready instances `members`; none if there are fewer than
    /// [`MIN_INSTANCES_COUNT`].
    ///
    /// Instances with the fastest links come first, since an aggregator sends changes to all of its
    /// domain; rendezvous hashing orders those with equal links.
    #[must_use]
    pub fn select<'member, Members>(members: Members) -> Self
    where
        Members: IntoIterator<Item = (&'member InstanceId, &'member MemberRecord)>,
    {
        let mut by_domain: BTreeMap<&FailureDomainId, Vec<_>> = BTreeMap::new();
        let mut members_count = 0;
        for (name, record) in members {
            members_count += 1;
            if let Some(feed) = record.feed {
                let of_domain = by_domain.entry(&record.failure_domain).or_default();
                of_domain.push((name, record.link_bits_per_s.unwrap_or_default(), feed));
            }
        }
        if members_count < MIN_INSTANCES_COUNT {
            return Self::default();
        }
        let by_domain = by_domain.into_iter().map(|(domain, mut candidates)| {
            let key = rendezvous::key_seed(domain.as_bytes());
            candidates.sort_by_key(|(name, link_bits_per_s, _)| {
                let score = rendezvous::score(key, rendezvous::member_seed(name));
                (Reverse(*link_bits_per_s), Reverse(score), *name)
            });
            let selected = candidates.into_iter().take(AGGREGATORS_PER_DOMAIN_COUNT);
            let selected = selected.map(|(name, _, feed)| Aggregator {
                name: name.clone(),
                feed,
            });
            (domain.clone(), selected.collect())
        });
        Self {
            by_domain: by_domain.collect(),
        }
    }

    /// Whether `instance` is an aggregator.
    #[must_use]
    pub fn contains(&self, instance: &str) -> bool {
        self.by_domain
            .values()
            .flatten()
            .any(|aggregator| aggregator.name == instance)
    }

    /// Whether there are no aggregators, so that each instance reads everything itself.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_domain.is_empty()
    }

    /// Returns the failure domains that have aggregators.
    pub fn failure_domains(&self) -> impl Iterator<Item = &FailureDomainId> {
        self.by_domain.keys()
    }

    /// Returns the aggregators of a failure domain other than `reader`, in the order in which `reader`
    /// tries them. Rendezvous hashing divides the readers of a domain among its aggregators.
    #[must_use]
    pub fn for_reader(&self, failure_domain: &str, reader: &str) -> Vec<&Aggregator> {
        let key = rendezvous::key_seed(reader.as_bytes());
        let of_domain = self.by_domain.get(failure_domain).into_iter().flatten();
        let mut aggregators: Vec<_> = of_domain.filter(|it| it.name != reader).collect();
        aggregators.sort_by_key(|aggregator| {
            let seed = rendezvous::member_seed(&aggregator.name);
            Reverse(rendezvous::score(key, seed))
        });
        aggregators
    }
}
