//! Which instances keep the origin of a stream.

use {crate::StreamKey, balance::rendezvous::score, std::cmp::Reverse};

/// Number of instances to which the origin of a stream is sent, besides the one that has it.
pub const HOLDERS_COUNT: usize = 2;
/// Number of instances that are asked for an origin. One more than have it, since an instance may
/// have come or gone in between.
pub const ASKED_COUNT: usize = HOLDERS_COUNT + 1;

/// The `count` instances with the highest scores for `key`. `instances` are the rendezvous seeds of
/// all instances but the own one; each is returned with its value.
#[must_use]
pub fn holders<Instance>(
    key: StreamKey,
    instances: &[(u64, Instance)],
    count: usize,
) -> Vec<Instance>
where
    Instance: Copy,
{
    let mut scored: Vec<(u64, Instance)> = instances
        .iter()
        .map(|(seed, instance)| (score(key, *seed), *instance))
        .collect();
    scored.sort_by_key(|(score, _)| Reverse(*score));
    let first = scored.into_iter().take(count);
    first.map(|(_, instance)| instance).collect()
}
