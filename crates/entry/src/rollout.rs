//! Which targets get new weights next.
//!
//! Answers the load of a roll-out: calls go on while weights are replaced, so only a share of a
//! pool's targets loads at once, and those with the least to do first. Targets at which tries were
//! fruitless let the others go first.

use {
    catalog::{ModelId, TargetId},
    relay::WantedVersions,
    std::{cmp::Reverse, collections::HashMap, time::Duration},
};

/// One in this many targets of a pool replaces its weights at a time, but always one.
const TARGETS_PER_LOAD: usize = 3;

/// Share of the version bound that may pass before targets are ordered without waiting for their
/// runs. A pool takes three rounds of loads, so a roll-out that begins later would end too late.
const PATIENT_SHARE: f64 = 0.4;

/// A target's report may be this old, so it may not show an order that was accepted since.
const MAX_REPORT_AGE: Duration = Duration::from_millis(600);

/// Rest after the first fruitless try at a target; doubles with each further one.
const FIRST_REST: Duration = Duration::from_millis(250);
/// Longest rest between tries at a target.
const MAX_REST: Duration = Duration::from_secs(1);

/// Whether the runs of a target that has `version` are waited for before it is ordered to newer weights,
/// which have to be in place `bound` after they were named.
///
/// Answers a roll-out that begins late, for example after its holder was suspended: ended runs are
/// worth less then than weights that are in place. The oldest version that the target lacks decides,
/// since a newer one doesn't put off the bound of those before it.
#[must_use]
pub fn waits_for_runs(
    wanted: &WantedVersions,
    version: u64,
    now: Duration,
    bound: Duration,
) -> bool {
    wanted.min_required_version(now, bound.mul_f64(PATIENT_SHARE)) <= version
}

/// Whether an order that was accepted `age` ago is still being carried out, by a report that says
/// whether the target is `busy` with one.
#[must_use]
pub fn is_under_way(busy: bool, age: Duration) -> bool {
    busy || age < MAX_REPORT_AGE
}

/// What came of a try to bring a target to new weights.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Try {
    /// It has them, is still at them, or it is this instance that could not go on.
    Over,
    /// The target gave no report, answered no order, or refused.
    Fruitless,
}

/// A target at which tries were fruitless.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Aside {
    fruitless_count: u32,
    rests_until: Duration,
}

/// Targets that let others go first, since tries at them were fruitless.
///
/// Answers targets that give no answer: they would take the places of those that do, since tries at
/// them last longest and leave them as far behind as before.
#[derive(Clone, Debug, Default)]
pub struct SetAside {
    targets: HashMap<TargetId, Aside>,
}

impl SetAside {
    /// Notes what came of a try that ended at `now`.
    pub fn note(&mut self, target: &TargetId, outcome: Try, now: Duration) {
        if outcome == Try::Over {
            self.targets.remove(target);
            return;
        }
        let fruitless_count = self.fruitless_count(target) + 1;
        let doublings = (fruitless_count - 1).min(8);
        let rest = (FIRST_REST * 2_u32.pow(doublings)).min(MAX_REST);
        let aside = Aside {
            fruitless_count,
            rests_until: now + rest,
        };
        self.targets.insert(target.clone(), aside);
    }

    /// Fruitless tries at a target since the last one that was not.
    #[must_use]
    pub fn fruitless_count(&self, target: &TargetId) -> u32 {
        let aside = self.targets.get(target);
        aside.map_or(0, |aside| aside.fruitless_count)
    }

    /// Whether a target is left alone at `now`.
    #[must_use]
    pub fn rests(&self, target: &TargetId, now: Duration) -> bool {
        let aside = self.targets.get(target);
        aside.is_some_and(|aside| now < aside.rests_until)
    }

    /// Forgets all but the targets that `stays` holds for.
    pub fn retain(&mut self, stays: impl Fn(&TargetId) -> bool) {
        self.targets.retain(|target, _| stays(target));
    }
}

/// A target that could load.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Loadable {
    /// Target.
    pub target: TargetId,
    /// Model.
    pub model: ModelId,
    /// Version that it has.
    pub version: u64,
    /// Calls of this instance that are under way there.
    pub in_flight_count: u32,
    /// Whether an order for it is under way.
    pub ordered: bool,
    /// Whether it is left alone after a fruitless try.
    pub rests: bool,
    /// Fruitless tries at it.
    pub fruitless_count: u32,
}

/// The targets to order to `wanted` now, of one pool that runs one model.
#[must_use]
pub fn next(pool: &[Loadable], wanted: u64) -> Vec<&Loadable> {
    let limit = (pool.len() / TARGETS_PER_LOAD).max(1);
    let under_way = pool.iter().filter(|it| it.ordered).count();
    let mut behind: Vec<&Loadable> = pool
        .iter()
        .filter(|it| !it.ordered && !it.rests && it.version < wanted)
        .collect();
    behind.sort_by_key(|it| (it.fruitless_count, it.in_flight_count, Reverse(&it.target)));
    behind.truncate(limit.saturating_sub(under_way));
    behind
}
