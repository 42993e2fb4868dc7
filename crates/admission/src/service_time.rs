//! Estimate of how long requests run.

use std::time::{Duration, Instant};

/// Weight of the newest request in the moving average.
const NEWEST_WEIGHT: f64 = 0.05;
/// Mean assumed before the first request has ended.
const INITIAL_MEAN: Duration = Duration::from_millis(100);

/// Exponential moving average of the time that requests run.
#[derive(Clone, Debug)]
pub(crate) struct ServiceTime {
    mean: Duration,
    last_progress_at: Instant,
}

impl ServiceTime {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            mean: INITIAL_MEAN,
            last_progress_at: now,
        }
    }

    /// Records that a request has started while none was running.
    pub(crate) fn record_first_start(&mut self, now: Instant) {
        self.last_progress_at = now;
    }

    /// Records that a request has ended after `run_time`.
    pub(crate) fn record_end(&mut self, run_time: Duration, now: Instant) {
        self.mean = self.mean.mul_f64(1.0 - NEWEST_WEIGHT) + run_time.mul_f64(NEWEST_WEIGHT);
        self.last_progress_at = now;
    }

    /// Returns the mean run time, or the time since a request last ended if that is longer: while
    /// targets are stalled, past requests say little.
    pub(crate) fn estimate(&self, now: Instant) -> Duration {
        self.mean
            .max(now.saturating_duration_since(self.last_progress_at))
    }
}
