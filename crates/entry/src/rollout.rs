//! Chooses the targets that load new weights next.
//!
//! Calls continue during a rollout, so only a share of a pool's targets loads at a time, the least
//! busy ones first. Targets at which earlier attempts failed come after the others.

use {
    catalog::{ModelId, TargetId},
    relay::WantedVersions,
    std::{cmp::Reverse, collections::HashMap, time::Duration},
};

/// One in this many targets of a pool loads at a time, but always at least one.
const TARGETS_PER_LOAD: usize = 3;

/// Share of the version bound after which orders no longer wait for running requests. A pool takes
/// three rounds of loads, so a rollout that starts later would miss the bound.
const REQUEST_WAIT_SHARE: f64 = 0.4;

/// Age that a target's report can have. Until an order is older, a report that does not show it may
/// have been made before the target accepted it.
const MAX_REPORT_AGE: Duration = Duration::from_millis(600);

/// Backoff after the first failed attempt at a target; doubles with each further failure.
const FIRST_BACKOFF: Duration = Duration::from_millis(250);
/// Upper limit of the backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Whether to let a target that has `version` finish its running requests before it is ordered to
/// load newer weights, which must be in place `bound` after they were requested.
///
/// A rollout that starts late, for example because the lock holder was suspended, does not wait,
/// since meeting the bound matters more than finishing requests on the old weights. The oldest
/// version that the target lacks decides, because a newer version does not extend the bound of
/// earlier ones.
#[must_use]
pub fn waits_for_requests(
    wanted: &WantedVersions,
    version: u64,
    now: Duration,
    bound: Duration,
) -> bool {
    wanted.min_required_version(now, bound.mul_f64(REQUEST_WAIT_SHARE)) <= version
}

/// Whether a target may still be executing an order that it accepted `age` ago, where `busy` is the
/// state in its report.
#[must_use]
pub fn is_order_in_progress(busy: bool, age: Duration) -> bool {
    busy || age < MAX_REPORT_AGE
}

/// Outcome of an attempt to update the weights of a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptOutcome {
    /// The target has the weights, accepted an order that was not yet seen to complete, or got no
    /// further order because this instance may not send any or a newer version is wanted.
    NotFailed,
    /// The target sent no usable report, answered no order, or refused the order.
    Failed,
}

/// Backoff of one target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Backoff {
    failures_count: u32,
    until: Duration,
}

/// Backoff of the targets at which attempts failed.
///
/// Without it, targets that do not respond would take the slots of those that do: attempts at them
/// last longest, and they stay as outdated as before.
#[derive(Clone, Debug, Default)]
pub struct TargetBackoffs {
    targets: HashMap<TargetId, Backoff>,
}

impl TargetBackoffs {
    /// Records the outcome of an attempt that ended at `now`.
    pub fn record(&mut self, target: &TargetId, outcome: AttemptOutcome, now: Duration) {
        if outcome == AttemptOutcome::NotFailed {
            self.targets.remove(target);
            return;
        }
        let failures_count = self.failures_count(target) + 1;
        let doublings = (failures_count - 1).min(8);
        let delay = (FIRST_BACKOFF * 2_u32.pow(doublings)).min(MAX_BACKOFF);
        let backoff = Backoff {
            failures_count,
            until: now + delay,
        };
        self.targets.insert(target.clone(), backoff);
    }

    /// Returns the number of failed attempts since the last successful one.
    #[must_use]
    pub fn failures_count(&self, target: &TargetId) -> u32 {
        let backoff = self.targets.get(target);
        backoff.map_or(0, |backoff| backoff.failures_count)
    }

    /// Whether no attempt may start at `target` at time `now`.
    #[must_use]
    pub fn is_backing_off(&self, target: &TargetId, now: Duration) -> bool {
        let backoff = self.targets.get(target);
        backoff.is_some_and(|backoff| now < backoff.until)
    }

    /// Keeps only the targets for which `stays` returns true.
    pub fn retain(&mut self, stays: impl Fn(&TargetId) -> bool) {
        self.targets.retain(|target, _| stays(target));
    }
}

/// A target that a rollout may update.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RolloutCandidate {
    /// Id of the target.
    pub target: TargetId,
    /// Model whose weights are replaced.
    pub model: ModelId,
    /// Version of the weights that the target has.
    pub version: u64,
    /// Calls of this instance that are in flight at the target.
    pub in_flight_count: u32,
    /// Whether an order to the target is in progress.
    pub has_order: bool,
    /// Whether the target is backing off after a failed attempt.
    pub is_backing_off: bool,
    /// Failed attempts since the last successful one.
    pub failures_count: u32,
}

/// Returns the targets to order to version `wanted` now. `pool` holds all targets of one pool that
/// run one model.
#[must_use]
pub fn next_targets(pool: &[RolloutCandidate], wanted: u64) -> Vec<&RolloutCandidate> {
    let limit = (pool.len() / TARGETS_PER_LOAD).max(1);
    let in_progress_count = pool.iter().filter(|it| it.has_order).count();
    let mut behind: Vec<&RolloutCandidate> = pool
        .iter()
        .filter(|it| !it.has_order && !it.is_backing_off && it.version < wanted)
        .collect();
    behind.sort_by_key(|it| (it.failures_count, it.in_flight_count, Reverse(&it.target)));
    behind.truncate(limit.saturating_sub(in_progress_count));
    behind
}
