//! An immutable view of all entry instances.

use {
    crate::Member,
    balance::rendezvous::{key_seed, member_seed, score},
    catalog::RegionId,
    std::cmp::Reverse,
};

/// Most entries that [`Members::entry_instances_for`] lists.
pub const MAX_ENTRY_INSTANCES_COUNT: usize = 8;
/// Entries at the head of that list that lie in different failure domains whenever possible.
const SPREAD_ENTRY_INSTANCES_COUNT: usize = 2;

/// All known entry instances, sorted by name, as seen from one region.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Members {
    region: RegionId,
    by_name: Vec<Member>,
    /// Hash of each member's name, in the order of `by_name`.
    seeds: Vec<u64>,
}

impl Members {
    /// A view from `region`. Of several members with one name the last is kept.
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
        Self {
            region,
            by_name: members,
            seeds,
        }
    }

    /// All members by name, whatever their state.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.by_name.iter()
    }

    /// Number of members, whatever their state.
    #[must_use]
    pub fn members_count(&self) -> usize {
        self.by_name.len()
    }

    /// The member of this name.
    #[must_use]
    pub fn get(&self, instance: &str) -> Option<&Member> {
        self.by_name
            .binary_search_by(|member| member.instance.as_str().cmp(instance))
            .ok()
            .map(|index| &self.by_name[index])
    }

    /// The live members of this region that own `key`, best first: rendezvous hashing, with each
    /// further owner in a failure domain of its own as long as there is one.
    ///
    /// When a member comes or goes, only keys that it owns or will own change their owners, and
    /// the other owner of such a key stays one.
    #[must_use]
    pub fn owners(&self, key: &[u8], count: usize) -> Vec<&Member> {
        let ranked = self.ranked(key, |member| member.region == self.region);
        spread_over_domains(ranked, count)
    }

    /// Live members that callers of a client account are told to use, best first, at most
    /// [`MAX_ENTRY_INSTANCES_COUNT`].
    ///
    /// Members of this region come first. The first two lie in different failure domains whenever
    /// there are two. The order is the same on all instances of a region with the same view, so
    /// that an account's state gathers on few of them.
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

    /// Live members that pass `filter`, highest score first.
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
        // The sort is stable, so equal scores keep the order of names.
        scored.sort_by_key(|(score, _)| Reverse(*score));
        scored.into_iter().map(|(_, member)| member).collect()
    }
}

/// The first `count` members, passing over failure domains already taken until none is left.
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
