//! Retry budgets by pool.

use {
    balance::{RetryBounds, RetryBudgetShare},
    routes::PoolId,
    std::{
        collections::HashMap,
        sync::{Mutex, PoisonError},
        time::Duration,
    },
};

/// How much a call needs a retry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RetryNeed {
    /// It has no answer otherwise.
    Needed,
    /// It can do without: a retry is taken only if enough is left for others.
    Surplus,
}

/// The retry budget of each pool.
#[derive(Debug)]
pub(crate) struct RetryBudgets {
    bounds: RetryBounds,
    shares: Mutex<HashMap<PoolId, RetryBudgetShare>>,
}

impl RetryBudgets {
    /// Creates retry budgets limited by `bounds`. A pool's budget starts with its first call.
    pub(crate) fn new(bounds: RetryBounds) -> Self {
        Self {
            bounds,
            shares: Mutex::default(),
        }
    }

    /// Counts a call's first attempt, which adds to the pool's budget.
    pub(crate) fn record_call(&self, pool: &str, instances_count: u32) {
        self.with(pool, instances_count, RetryBudgetShare::record_call);
    }

    /// Takes one retry from the pool's budget. Returns whether the budget allowed it.
    pub(crate) fn try_retry(
        &self,
        pool: &str,
        instances_count: u32,
        need: RetryNeed,
        now: Duration,
    ) -> bool {
        self.with(pool, instances_count, |share| match need {
            RetryNeed::Needed => share.try_retry(now),
            RetryNeed::Surplus => share.try_surplus_retry(now),
        })
    }

    /// Calls `use_share` on this instance's share of the pool's budget, after adapting the share to
    /// the number of instances.
    fn with<Value, Use>(&self, pool: &str, instances_count: u32, use_share: Use) -> Value
    where
        Use: FnOnce(&mut RetryBudgetShare) -> Value,
    {
        let mut shares = self.shares.lock().unwrap_or_else(PoisonError::into_inner);
        let share = shares
            .entry(pool.to_owned())
            .or_insert_with(|| RetryBudgetShare::new(&self.bounds, instances_count));
        share.resize(&self.bounds, instances_count);
        use_share(share)
    }
}
