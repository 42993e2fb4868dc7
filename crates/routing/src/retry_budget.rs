//! A bound on retries.

use std::time::Duration;

/// Allows retries up to a share of requests, and a few a second in any case, so that retries never
/// multiply the load of an overloaded fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Retries allowed for each request.
    pub retries_per_request: f64,
    /// Retries allowed a second without any request.
    pub min_retries_per_s: f64,
    /// Most retries that can be saved up.
    pub burst_count: f64,
    saved_count: f64,
    updated: Duration,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            retries_per_request: 0.1,
            min_retries_per_s: 0.2,
            burst_count: 10.0,
            saved_count: 2.0,
            updated: Duration::ZERO,
        }
    }
}

impl RetryBudget {
    /// Counts a request that is not a retry.
    pub fn record_request(&mut self) {
        self.save(self.retries_per_request);
    }

    /// Takes one retry out of the budget. Returns whether it may be made; if not, the request is
    /// given up at once. `now` is the time since an origin that stays the same.
    pub fn try_retry(&mut self, now: Duration) -> bool {
        let passed_s = now.saturating_sub(self.updated).as_secs_f64();
        self.updated = self.updated.max(now);
        self.save(passed_s * self.min_retries_per_s);
        if self.saved_count < 1.0 {
            return false;
        }
        self.saved_count -= 1.0;
        true
    }

    fn save(&mut self, count: f64) {
        self.saved_count = (self.saved_count + count).min(self.burst_count);
    }
}
