//! Mean time that a request runs.

use std::time::{Duration, Instant};

/// Weight of the newest request in the mean.
const NEWEST_WEIGHT: f64 = 0.05;
/// Mean that is assumed before any request has ended.
const INITIAL_MEAN: Duration = Duration::from_millis(100);

/// Mean time that a request runs, newest requests weighing most.
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

    /// Notes that the first of the requests that run has begun.
    pub(crate) fn record_first_start(&mut self, now: Instant) {
        self.last_progress_at = now;
    }

    /// Takes in a request that ended after running for `ran`.
    pub(crate) fn record_end(&mut self, run_time: Duration, now: Instant) {
        self.mean = self.mean.mul_f64(1.0 - NEWEST_WEIGHT) + run_time.mul_f64(NEWEST_WEIGHT);
        self.last_progress_at = now;
    }

    /// The mean, or the time in which no request has ended if that is longer: while targets stall,
    /// past requests tell little.
    pub(crate) fn estimate(&self, now: Instant) -> Duration {
        self.mean
            .max(now.saturating_duration_since(self.last_progress_at))
    }
}
