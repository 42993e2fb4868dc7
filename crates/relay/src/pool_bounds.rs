//! What targets of each pool state of the refusals that they bear.

use {
    crate::{Stated, TargetStatements, boot_time},
    routes::PoolId,
    std::{
        collections::HashMap,
        sync::{Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
};

/// Time for which what a target states counts if nothing is heard since, also for other targets of
/// its pool. It ends in this way for instances that send it no calls.
pub(crate) const PRESUMED_TIME: Duration = Duration::from_secs(10);

/// The bound that a target of a pool stated last.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct PoolBound {
    /// Refusals per second that one target bears.
    pub(crate) max_per_s: f64,
    /// When it was stated, by [`crate::boot_time`].
    pub(crate) stated_at: Duration,
}

/// The bounds that targets of each pool stated last. The targets of a pool are alike, so one that has
/// not answered for a while is taken to bear no more than the others.
#[derive(Debug, Default)]
pub(crate) struct PoolBounds {
    by_pool: Mutex<HashMap<PoolId, PoolBound>>,
}

impl PoolBounds {
    /// Records what an answer of a target of `pool` states, to this instance or to one that a call was
    /// passed on to.
    pub(crate) fn record(&self, pool: &PoolId, statements: &TargetStatements) {
        let Some(Stated::Valid(max_per_s)) = statements.max_refusals_per_s else {
            return;
        };
        let bound = PoolBound {
            max_per_s,
            stated_at: boot_time(),
        };
        self.lock().insert(pool.clone(), bound);
    }

    /// The bound that a target of `pool` stated lately.
    pub(crate) fn recent(&self, pool: &str) -> Option<PoolBound> {
        let bound = self.lock().get(pool).copied();
        bound.filter(|it| boot_time().saturating_sub(it.stated_at) < PRESUMED_TIME)
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<PoolId, PoolBound>> {
        self.by_pool.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
