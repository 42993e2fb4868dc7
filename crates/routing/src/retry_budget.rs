//! Limit on the number of retries.

use std::time::Duration;

/// Part of the burst that is left to requests which cannot do without a retry.
const RESERVED_SHARE: f64 = 0.25;

/// Token bucket that limits retries to a share of requests plus a small constant rate.
///
/// It prevents retries from multiplying the load of an overloaded fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Retries that each request adds to the budget.
    pub retries_per_request: f64,
    /// Retries added to the budget per second, even without requests.
    pub min_retries_per_s: f64,
    /// Maximum number of unused retries that the budget holds.
    pub burst_count: f64,
    available_count: f64,
    updated_at: Duration,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            retries_per_request: 0.1,
            min_retries_per_s: 0.2,
            burst_count: 10.0,
            available_count: 2.0,
            updated_at: Duration::ZERO,
        }
    }
}

impl RetryBudget {
    /// Records a first attempt, which adds to the budget. Retries must not be recorded.
    pub fn record_request(&mut self) {
        self.add_retries(self.retries_per_request);
    }

    /// Takes one retry out of the budget and returns whether it may be made.
    ///
    /// If not, the caller fails the request at once. `now` is the time since a fixed origin.
    pub fn try_retry(&mut self, now: Duration) -> bool {
        self.try_retry_leaving(0.0, now)
    }

    /// Takes one retry out of the budget for a request that can do without it, unless others may soon need what
    /// would be left.
    pub fn try_surplus_retry(&mut self, now: Duration) -> bool {
        self.try_retry_leaving(self.burst_count * RESERVED_SHARE, now)
    }

    fn try_retry_leaving(&mut self, left_count: f64, now: Duration) -> bool {
        let elapsed_s = now.saturating_sub(self.updated_at).as_secs_f64();
        self.updated_at = self.updated_at.max(now);
        self.add_retries(elapsed_s * self.min_retries_per_s);
        if self.available_count < 1.0 + left_count {
            return false;
        }
        self.available_count -= 1.0;
        true
    }

    fn add_retries(&mut self, count: f64) {
        self.available_count = (self.available_count + count).min(self.burst_count);
    }
}
