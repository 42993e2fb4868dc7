//! Delays after which instances return to a target that wanted no calls.

use {crate::rendezvous, std::time::Duration};

/// Time between the returns of two instances.
const RETURN_INTERVAL: Duration = Duration::from_millis(10);
/// Longest delay.
const MAX_RETURN_DELAY: Duration = Duration::from_secs(2);

/// Returns how long after the end of a target's backoff the instance `own_seed` returns to the target
/// `target_seed`, if it has another one meanwhile.
///
/// The `instance_seeds` return one by one in the order of rendezvous hashing, so that instances with
/// the same view agree without a message. An instance that is missing there counts as one more.
#[must_use]
pub fn return_delay(target_seed: u64, own_seed: u64, instance_seeds: &[u64]) -> Duration {
    let own_score = rendezvous::score(target_seed, own_seed);
    let others = instance_seeds.iter().filter(|seed| **seed != own_seed);
    let (mut rank, mut instances_count) = (0_u32, 1_u32);
    for seed in others {
        instances_count += 1;
        rank += u32::from(rendezvous::score(target_seed, *seed) > own_score);
    }
    let interval = RETURN_INTERVAL.min(MAX_RETURN_DELAY / instances_count);
    interval * rank
}
