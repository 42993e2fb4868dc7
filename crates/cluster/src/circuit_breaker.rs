//! Leaves a failing peer alone for a while.

use std::time::{Duration, Instant};

/// Failures in a row that open the circuit.
const FAILURE_THRESHOLD_COUNT: u32 = 3;
/// Wait after the circuit opens; doubles with every further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Longest wait.
const MAX_BACKOFF: Duration = Duration::from_secs(5);
/// Doublings after which the wait no longer grows.
const MAX_DOUBLINGS_COUNT: u32 = 6;

/// Circuit breaker with exponential backoff. The clock is an argument.
#[derive(Clone, Copy, Debug, Default)]
pub struct CircuitBreaker {
    failures_count: u32,
    open_until: Option<Instant>,
}

impl CircuitBreaker {
    /// Whether a call may be tried at `now`; else how long to wait. Once the wait is over one
    /// call is let through, and further ones after its outcome or another wait.
    ///
    /// # Errors
    /// The time that is left.
    pub fn allow(&mut self, now: Instant) -> Result<(), Duration> {
        let Some(open_until) = self.open_until else {
            return Ok(());
        };
        if now < open_until {
            return Err(open_until - now);
        }
        self.open_until = Some(now + INITIAL_BACKOFF);
        Ok(())
    }

    /// Notes an answer; closes the circuit.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Notes a failure. `jitter` from 0 to 1 lengthens the wait by up to its half.
    pub fn record_failure(&mut self, now: Instant, jitter: f64) {
        self.failures_count = self.failures_count.saturating_add(1);
        let Some(doublings_count) = self.failures_count.checked_sub(FAILURE_THRESHOLD_COUNT) else {
            return;
        };
        let backoff =
            (INITIAL_BACKOFF * (1 << doublings_count.min(MAX_DOUBLINGS_COUNT))).min(MAX_BACKOFF);
        self.open_until = Some(now + backoff.mul_f64(1.0 + jitter / 2.0));
    }

    /// Whether no failure is remembered.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.failures_count == 0
    }
}
