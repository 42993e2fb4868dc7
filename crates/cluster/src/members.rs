//! An immutable view of all entry instances.

use {
    crate::Member,
    balance::rendezvous::{key_seed, member_seed, score},
    catalog::RegionId,
    std::{cmp::Reverse, collections::BTreeMap},
};

/// Maximum number of instances that [`Members::entry_instances_for`] returns.
pub const MAX_ENTRY_INSTANCES_COUNT: usize = 8;
/// Number of instances at the head of that list that are in different failure domains if possible.
const SPREAD_ENTRY_INSTANCES_COUNT: usize = 2;

/// All known entry instances, sorted by name, as seen from one region.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Members {
    region: RegionId,
    by_name: Vec<Member>,
    /// Hash of each member's name, in the order of `by_name`.
    seeds: Vec<u64>,
    region_counts: RegionCounts,
}

/// Numbers of regions with members in any state.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct RegionCounts {
    /// Regions with a member.
    pub(crate) all_count: usize,
    /// Regions with at least two.
    pub(crate) with_two_count: usize,
}

/// Which instance of its region the callers of a client account use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum EntryRank {
    /// The one that they use.
    First,
    /// The one that they use if the first one fails.
    Second,
}

impl Members {
    /// Creates a view as seen from `region`. Of several members with the same name, keeps the last.
    #[must_use]
    pub fn new(region: RegionId, members: impl IntoIterator<Item = Member>) -> Self {
        let mut members: Vec<Member> = members.into_iter().collect();
        members.reverse();
        members.sort_by(|left, right| left.instance.cmp(&right.instance));
        members.dedup_by(|later, first| later.instance == first.instance);
        let seeds = members
            .iter()
            .map(|member| member_seed(&member.instance))
            .collect();
        let region_counts = RegionCounts::of(&members);
        Self {
            region,
            by_name: members,
            seeds,
            region_counts,
        }
    }

    /// All members in any state, sorted by name.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.by_name.iter()
    }

    /// Number of members in any state.
    #[must_use]
    pub fn members_count(&self) -> usize {
        self.by_name.len()
    }

    /// Returns the member with this name.
    #[must_use]
    pub fn get(&self, instance: &str) -> Option<&Member> {
        self.by_name
            .binary_search_by(|member| member.instance.as_str().cmp(instance))
            .ok()
            .map(|index| &self.by_name[index])
    }

    /// Returns the live members of this region that own `key`, best first. Rendezvous hashing ranks
    /// them; each further owner is in a different failure domain as long as there is one.
    ///
    /// When a member joins or leaves, only the keys that it owns before or after change owners, and
    /// such a key keeps its other owner.
    #[must_use]
    pub fn owners(&self, key: &[u8], count: usize) -> Vec<&Member> {
        let ranked = self.ranked(key, |member| member.region == self.region);
        spread_over_domains(ranked, count)
    }

    /// Returns the live members that callers of a client account should use, best first, at most
    /// [`MAX_ENTRY_INSTANCES_COUNT`].
    ///
    /// Members of this region come first. The first two are in different failure domains if there
    /// are at least two domains. All instances of a region with the same view return the same
    /// order, so that an account's state is concentrated on few of them.
    #[must_use]
    pub fn entry_instances_for(&self, account: &str) -> Vec<&Member> {
        let mut ranked = self.ranked(account.as_bytes(), |_| true);
        ranked.sort_by_key(|member| member.region != self.region);
        let mut entries = spread_over_domains(ranked.clone(), SPREAD_ENTRY_INSTANCES_COUNT);
        for member in ranked {
            if entries.len() == MAX_ENTRY_INSTANCES_COUNT {
                break;
            }
            if !entries.contains(&member) {
                entries.push(member);
            }
        }
        entries
    }

    /// Numbers of regions with members.
    pub(crate) fn region_counts(&self) -> RegionCounts {
        self.region_counts
    }

    /// Rank of `instance` among the live members of this region that callers of the account use.
    /// The second one is in another failure domain, as in [`Self::entry_instances_for`], if any is.
    pub(crate) fn entry_rank(&self, account: &str, instance: &str) -> Option<EntryRank> {
        let key_seed = key_seed(account.as_bytes());
        let first = self.best(key_seed, |_| true)?;
        if first.instance == instance {
            return Some(EntryRank::First);
        }
        let second = self
            .best(key_seed, |it| it.failure_domain != first.failure_domain)
            .or_else(|| self.best(key_seed, |it| it.instance != first.instance))?;
        (second.instance == instance).then_some(EntryRank::Second)
    }

    /// The live member of this region that passes `filter` and has the highest score; of several,
    /// the first by name.
    fn best<Filter>(&self, key_seed: u64, filter: Filter) -> Option<&Member>
    where
        Filter: Fn(&Member) -> bool,
    {
        self.by_name
            .iter()
            .zip(&self.seeds)
            .filter(|(member, _)| member.is_live() && member.region == self.region)
            .filter(|(member, _)| filter(member))
            .min_by_key(|(_, seed)| Reverse(score(key_seed, **seed)))
            .map(|(member, _)| member)
    }

    /// Returns the live members that pass `filter`, highest score first.
    fn ranked<Filter>(&self, key: &[u8], filter: Filter) -> Vec<&Member>
    where
        Filter: Fn(&Member) -> bool,
    {
        let key_seed = key_seed(key);
        let mut scored: Vec<(u64, &Member)> = self
            .by_name
            .iter()
            .zip(&self.seeds)
            .filter(|(member, _)| member.is_live() && filter(member))
            .map(|(member, seed)| (score(key_seed, *seed), member))
            .collect();
        // The sort is stable, so members with equal scores stay sorted by name.
        scored.sort_by_key(|(score, _)| Reverse(*score));
        scored.into_iter().map(|(_, member)| member).collect()
    }
}

impl RegionCounts {
    fn of(members: &[Member]) -> Self {
        let mut counts = BTreeMap::<&RegionId, usize>::new();
        for member in members {
            *counts.entry(&member.region).or_default() += 1;
        }
        Self {
            all_count: counts.len(),
            with_two_count: counts.values().filter(|count| **count > 1).count(),
        }
    }
}

/// Picks `count` members in ranked order, first one per failure domain, then from the rest.
fn spread_over_domains(ranked: Vec<&Member>, count: usize) -> Vec<&Member> {
    if count == 0 {
        return Vec::new();
    }
    let mut chosen: Vec<&Member> = Vec::with_capacity(count);
    let mut same_domain = Vec::new();
    for member in ranked {
        let is_domain_taken = chosen
            .iter()
            .any(|owner| owner.failure_domain == member.failure_domain);
        if is_domain_taken {
            same_domain.push(member);
        } else {
            chosen.push(member);
        }
        if chosen.len() == count {
            return chosen;
        }
    }
    let missing_count = count - chosen.len();
    chosen.extend(same_domain.into_iter().take(missing_count));
    chosen
}
