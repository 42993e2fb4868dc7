//! Pools whose targets have answered with neither a length nor chunks.

use {
    routes::PoolId,
    std::{
        collections::HashSet,
        sync::{
            Mutex, PoisonError,
            atomic::{AtomicBool, Ordering},
        },
    },
};

/// Pools of which a target has answered with neither a length nor chunks. What shows that such an answer is
/// complete must be there before its call is sent.
#[derive(Debug, Default)]
pub(crate) struct UnframedPools {
    /// Whether there are any, so that calls take no lock where there are none.
    has_any: AtomicBool,
    pools: Mutex<HashSet<PoolId>>,
}

impl UnframedPools {
    /// Adds a pool.
    pub(crate) fn add(&self, pool: &PoolId) {
        if self.has(pool) {
            return;
        }
        let mut pools = self.pools.lock().unwrap_or_else(PoisonError::into_inner);
        if pools.insert(pool.clone()) {
            log::info!("targets of pool {pool} answer with neither a length nor chunks");
        }
        self.has_any.store(true, Ordering::Relaxed);
    }

    /// Whether `pool` is one of them.
    pub(crate) fn has(&self, pool: &PoolId) -> bool {
        if !self.has_any.load(Ordering::Relaxed) {
            return false;
        }
        let pools = self.pools.lock().unwrap_or_else(PoisonError::into_inner);
        pools.contains(pool)
    }
}
