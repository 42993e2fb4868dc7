//! What an instance knows of the targets of a pool.

use std::time::Duration;

/// Smallest share of the call slots that are taken when a call is refused.
const MIN_TAKEN_SHARE: f64 = 0.5;
/// Share of the memory that the calls in flight take when a call is refused while most slots are free,
/// so that some wait for memory. More than 1, since a part that calls share counts for each of them.
const FULL_MEMORY_SHARE: f64 = 1.5;
/// Smallest share of the instances whose loads are known when a call is refused.
const MIN_COVERED_SHARE: f64 = 0.5;

/// Room at a target, by the calls that all instances have in flight there.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TargetRoom {
    /// Number of calls that the target runs concurrently.
    pub slots_count: u32,
    /// Estimated number of calls in flight.
    pub calls_count: f64,
    /// Estimated share of the target's memory that these calls take, which exceeds 1 if some have to
    /// wait for it; 0 if the memory is not known. Long prompts fill it while most slots are free.
    pub memory_share: f64,
    /// Estimated number of tokens that these calls need, as [`crate::CallNeeds::tokens_count`].
    pub tokens_count: f64,
}

/// The targets of a pool that may take a call, and how well their loads are known.
#[derive(Clone, Copy, Debug)]
pub struct PoolState<'targets> {
    /// Targets that may take the call now.
    pub targets: &'targets [TargetRoom],
    /// Number of instances, including this one, whose loads are known and at most
    /// [`PoolState::MAX_LOADS_AGE`] old.
    pub covered_count: u32,
    /// Number of ready instances, including this one.
    pub instances_count: u32,
}

impl PoolState<'_> {
    /// Age above which the loads of an instance no longer count as known.
    pub const MAX_LOADS_AGE: Duration = Duration::from_secs(1);

    /// Whether enough is known, and enough room is taken, to refuse a call.
    #[must_use]
    pub fn permits_refusal(&self) -> bool {
        let needed_count = f64::from(self.instances_count) * MIN_COVERED_SHARE;
        let is_full =
            self.slots_share() >= MIN_TAKEN_SHARE || self.memory_share() >= FULL_MEMORY_SHARE;
        f64::from(self.covered_count) >= needed_count && is_full
    }

    /// Share of the call slots that are taken.
    fn slots_share(&self) -> f64 {
        let slots = self.targets.iter().map(|it| f64::from(it.slots_count));
        let slots_count: f64 = slots.sum();
        let calls_count: f64 = self.targets.iter().map(|it| it.calls_count).sum();
        if slots_count > 0.0 {
            calls_count / slots_count
        } else {
            0.0
        }
    }

    /// Mean share of the targets' memory that is taken.
    fn memory_share(&self) -> f64 {
        self.mean(|target| target.memory_share)
    }

    /// Mean number of tokens in flight at a target.
    pub(crate) fn mean_tokens(&self) -> f64 {
        self.mean(|target| target.tokens_count)
    }

    fn mean(&self, value: fn(&TargetRoom) -> f64) -> f64 {
        let sum: f64 = self.targets.iter().map(value).sum();
        #[allow(clippy::cast_precision_loss)]
        let targets_count = self.targets.len().max(1) as f64;
        sum / targets_count
    }

    /// Number of tokens in flight at the target that has the fewest.
    pub(crate) fn least_tokens(&self) -> f64 {
        let tokens = self.targets.iter().map(|it| it.tokens_count);
        tokens.min_by(f64::total_cmp).unwrap_or(0.0)
    }
}
