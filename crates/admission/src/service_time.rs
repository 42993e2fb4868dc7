//! Mean time that a request runs.

use std::time::{Duration, Instant};

/// Weight of the newest request in the mean.
const SMOOTHING: f64 = 0.05;
/// Mean that is assumed before any request has ended.
const INITIAL: Duration = Duration::from_millis(100);

/// Mean time that a request runs, newest requests weighing most.
#[derive(Clone, Debug)]
pub(crate) struct ServiceTime {
    mean: Duration,
    progressed: Instant,
}

impl ServiceTime {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            mean: INITIAL,
            progressed: now,
        }
    }

    /// Notes that the first of the requests that run has begun.
    pub(crate) fn begin(&mut self, now: Instant) {
        self.progressed = now;
    }

    /// Takes in a request that ended after running for `ran`.
    pub(crate) fn end(&mut self, ran: Duration, now: Instant) {
        self.mean = self.mean.mul_f64(1.0 - SMOOTHING) + ran.mul_f64(SMOOTHING);
        self.progressed = now;
    }

    /// The mean, or the time in which no request has ended if that is longer: while targets stall,
    /// past requests tell little.
    pub(crate) fn mean(&self, now: Instant) -> Duration {
        self.mean
            .max(now.saturating_duration_since(self.progressed))
    }
}
