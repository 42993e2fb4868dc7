//! Which targets get new weights next.
//!
//! Answers the load of a roll-out: calls go on while weights are replaced, so only a share of a
//! pool's targets loads at once, and those with the least to do first. Targets at which tries were
//! fruitless let the others go first.

use {
    catalog::{ModelId, TargetId},
    relay::Wanted,
    std::{cmp::Reverse, collections::HashMap, time::Duration},
};

/// One in this many targets of a pool replaces its weights at a time, but always one.
const TARGETS_PER_LOAD: usize = 3;

/// Share of the version bound that may pass before targets are ordered without waiting for their
/// runs. A pool takes three rounds of loads, so a roll-out that begins later would end too late.
const REQUEST_WAIT_SHARE: f64 = 0.4;

/// A target's report may be this old, so it may not show an order that was accepted since.
const MAX_REPORT_AGE: Duration = Duration::from_millis(600);

/// Rest after the first fruitless try at a target; doubles with each further one.
const FIRST_BACKOFF: Duration = Duration::from_millis(250);
/// Longest rest between tries at a target.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Whether the runs of a target that has `version` are waited for before it is ordered to newer weights,
/// which have to be in place `bound` after they were named.
///
/// Answers a roll-out that begins late, for example after its holder was suspended: ended runs are
/// worth less then than weights that are in place. The oldest version that the target lacks decides,
/// since a newer one doesn't put off the bound of those before it.
#[must_use]
pub fn waits_for_requests(wanted: &Wanted, version: u64, now: Duration, bound: Duration) -> bool {
    wanted.required(now, bound.mul_f64(REQUEST_WAIT_SHARE)) <= version
}

/// Whether an order that was accepted `age` ago is still being carried out, by a report that says
/// whether the target is `busy` with one.
#[must_use]
pub fn is_order_in_progress(busy: bool, age: Duration) -> bool {
    busy || age < MAX_REPORT_AGE
}

/// What came of a try to bring a target to new weights.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptOutcome {
    /// It has them, is still at them, or it is this instance that could not go on.
    Done,
    /// The target gave no report, answered no order, or refused.
    Failed,
}

/// A target at which tries were fruitless.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Backoff {
    failures_count: u32,
    until: Duration,
}

/// Targets that let others go first, since tries at them were fruitless.
///
/// Answers targets that give no answer: they would take the places of those that do, since tries at
/// them last longest and leave them as far behind as before.
#[derive(Clone, Debug, Default)]
pub struct TargetBackoffs {
    targets: HashMap<TargetId, Backoff>,
}

impl TargetBackoffs {
    /// Notes what came of a try that ended at `now`.
    pub fn record(&mut self, target: &TargetId, outcome: AttemptOutcome, now: Duration) {
        if outcome == AttemptOutcome::Done {
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

    /// Fruitless tries at a target since the last one that was not.
    #[must_use]
    pub fn failures_count(&self, target: &TargetId) -> u32 {
        let backoff = self.targets.get(target);
        backoff.map_or(0, |backoff| backoff.failures_count)
    }

    /// Whether a target is left alone at `now`.
    #[must_use]
    pub fn is_backing_off(&self, target: &TargetId, now: Duration) -> bool {
        let backoff = self.targets.get(target);
        backoff.is_some_and(|backoff| now < backoff.until)
    }

    /// Forgets all but the targets that `stays` holds for.
    pub fn retain(&mut self, stays: impl Fn(&TargetId) -> bool) {
        self.targets.retain(|target, _| stays(target));
    }
}

/// A target that could load.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RolloutCandidate {
    /// Target.
    pub target: TargetId,
    /// Model.
    pub model: ModelId,
    /// Version that it has.
    pub version: u64,
    /// Calls of this instance that are under way there.
    pub in_flight_count: u32,
    /// Whether an order for it is under way.
    pub has_order: bool,
    /// Whether it is left alone after a fruitless try.
    pub is_backing_off: bool,
    /// Fruitless tries at it.
    pub failures_count: u32,
}

/// The targets to order to `wanted` now, of one pool that runs one model.
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
