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

/// Whether at least one of the [`HOLDERS_COUNT`] instances to which an origin was sent is among those that have
/// answered, if so many were asked and so many answered.
///
/// ```
/// use origins::has_holder_answered;
///
/// assert!(has_holder_answered(3, 2));
/// assert!(!has_holder_answered(3, 1));
/// assert!(!has_holder_answered(0, 0));
/// ```
#[must_use]
pub fn has_holder_answered(asked_count: usize, answered_count: usize) -> bool {
    let unanswered_count = asked_count.saturating_sub(answered_count);
    answered_count > 0 && unanswered_count < HOLDERS_COUNT
}
