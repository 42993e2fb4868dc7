//! Which pools this instance can reach.

use {
    crate::{AttemptOutcome, TargetState, View, boot_time},
    balance::Reachability,
    routes::PoolId,
    std::{
        collections::HashMap,
        sync::{Mutex, MutexGuard, PoisonError},
    },
};

/// Which pools this instance can reach, as its calls and probes show.
#[derive(Debug, Default)]
pub struct TargetReachability {
    pools: Mutex<HashMap<PoolId, Reachability>>,
}

impl TargetReachability {
    /// Whether this instance is taken to be cut off from all targets of a pool.
    #[must_use]
    pub fn is_cut_off(&self, view: &View, pool: &str) -> bool {
        let targets_count = view.targets_in_use(pool).count();
        // Nobody else reaches targets that get no calls.
        let has_only_evacuated = targets_count == 0 && view.pools.contains_key(pool);
        if has_only_evacuated {
            return false;
        }
        let pools = self.lock();
        let reachability = pools.get(pool);
        reachability.is_some_and(|it| it.is_cut_off(targets_count, boot_time()))
    }

    /// The pools of `view` from which this instance is cut off.
    #[must_use]
    pub fn cut_off_pools(&self, view: &View) -> Vec<PoolId> {
        let pools = view.pools.keys();
        let cut_off = pools.filter(|pool| self.is_cut_off(view, pool));
        cut_off.cloned().collect()
    }

    /// Records that a target of the pool accepted a connection.
    pub fn record_reached(&self, pool: &str) {
        if let Some(reachability) = self.lock().get_mut(pool) {
            reachability.record_reached();
        }
    }

    /// Records what an attempt shows. One without an answer at an open connection shows nothing.
    pub(crate) fn record_attempt<Answer>(
        &self,
        pool: &PoolId,
        target: &TargetState,
        outcome: &AttemptOutcome<Answer>,
    ) {
        match outcome {
            AttemptOutcome::Answered(_) | AttemptOutcome::NotRun(..) => self.record_reached(pool),
            AttemptOutcome::NotSent(..) => {
                let mut pools = self.lock();
                let reachability = pools.entry(pool.clone()).or_default();
                reachability.record_failure(target.seed, boot_time());
            }
            AttemptOutcome::Unknown { .. } => {}
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<PoolId, Reachability>> {
        self.pools.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
