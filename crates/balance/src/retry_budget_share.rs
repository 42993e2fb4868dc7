//! This instance's part of a retry budget that all instances share.

use {routing::RetryBudget, std::time::Duration};

/// Part of the shared budget that is used; the rest covers instances that are not known yet.
const USED_SHARE: f64 = 0.6;
/// Part of the slack that may be spent in one burst.
const BURST_SHARE: f64 = 0.5;

/// Bounds that hold for all instances together, over any window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBounds {
    /// Retries allowed for each call.
    pub retries_per_call: f64,
    /// Length of the window.
    pub window: Duration,
    /// Retries allowed in a window besides.
    pub slack_count: f64,
}

impl Default for RetryBounds {
    fn default() -> Self {
        Self {
            retries_per_call: 0.2,
            window: Duration::from_secs(10),
            slack_count: 20.0,
        }
    }
}

/// One instance's part of the budget for one pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetShare {
    budget: RetryBudget,
}

impl RetryBudgetShare {
    /// The part of one of `instances_count` instances.
    #[must_use]
    pub fn new(bounds: &RetryBounds, instances_count: u32) -> Self {
        let slack = bounds.slack_count * USED_SHARE / f64::from(instances_count.max(1));
        let mut budget = RetryBudget::default();
        budget.retries_per_request = bounds.retries_per_call * USED_SHARE;
        budget.min_retries_per_s = slack * (1.0 - BURST_SHARE) / bounds.window.as_secs_f64();
        budget.burst_count = slack * BURST_SHARE;
        Self { budget }
    }

    /// Counts a call that is not a retry.
    pub fn record_call(&mut self) {
        self.budget.record_request();
    }

    /// Takes one retry out of the budget; if there is none left, the call is given up at once.
    /// `now` is the time since an origin that stays the same.
    pub fn try_retry(&mut self, now: Duration) -> bool {
        self.budget.try_retry(now)
    }

    /// Follows a change of the number of instances; what is saved up stays within the new bound.
    pub fn resize(&mut self, bounds: &RetryBounds, instances_count: u32) {
        let sized = Self::new(bounds, instances_count).budget;
        self.budget.min_retries_per_s = sized.min_retries_per_s;
        self.budget.burst_count = sized.burst_count;
    }
}
