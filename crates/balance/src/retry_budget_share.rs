//! This instance's part of a retry budget that all instances share.

use {routing::RetryBudget, std::time::Duration};

/// Part of the shared budget that known instances use; the rest covers instances not known yet.
const USED_BUDGET_SHARE: f64 = 0.6;
/// Part of the slack that may be used in one burst; the rest accrues over the window.
const BURST_SHARE: f64 = 0.5;

/// Limits on the retries of all instances together within any window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBounds {
    /// Retries allowed per call.
    pub retries_per_call: f64,
    /// Length of the window.
    pub window: Duration,
    /// Additional retries allowed per window, regardless of the number of calls.
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

/// One instance's part of the retry budget for one pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetShare {
    budget: RetryBudget,
}

impl RetryBudgetShare {
    /// Returns the part of one of `instances_count` instances.
    #[must_use]
    pub fn new(bounds: &RetryBounds, instances_count: u32) -> Self {
        let slack = bounds.slack_count * USED_BUDGET_SHARE / f64::from(instances_count.max(1));
        let mut budget = RetryBudget::default();
        budget.retries_per_request = bounds.retries_per_call * USED_BUDGET_SHARE;
        budget.min_retries_per_s = slack * (1.0 - BURST_SHARE) / bounds.window.as_secs_f64();
        budget.burst_count = slack * BURST_SHARE;
        Self { budget }
    }

    /// Records a first attempt, which adds to the budget. Retries must not be recorded.
    pub fn record_call(&mut self) {
        self.budget.record_request();
    }

    /// Takes one retry out of the budget and returns whether it may be made.
    ///
    /// If not, the caller fails the call at once. `now` is the time since a fixed origin.
    pub fn try_retry(&mut self, now: Duration) -> bool {
        self.budget.try_retry(now)
    }

    /// Takes one retry for a call that can do without it, if enough is left for others.
    pub fn try_surplus_retry(&mut self, now: Duration) -> bool {
        self.budget.try_surplus_retry(now)
    }

    /// Adapts the part to a changed number of instances. Unused retries beyond the new burst are
    /// dropped at the next use.
    pub fn resize(&mut self, bounds: &RetryBounds, instances_count: u32) {
        let resized = Self::new(bounds, instances_count).budget;
        self.budget.min_retries_per_s = resized.min_retries_per_s;
        self.budget.burst_count = resized.burst_count;
    }
}
