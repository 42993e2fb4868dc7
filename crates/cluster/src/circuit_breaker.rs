//! Circuit breaker that pauses calls to a failing peer.

use std::time::{Duration, Instant};

/// Number of consecutive failures that opens the circuit.
const FAILURE_THRESHOLD_COUNT: u32 = 3;
/// Backoff when the circuit opens; doubles with every further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Upper bound of the backoff before jitter.
const MAX_BACKOFF: Duration = Duration::from_secs(5);
/// Number of doublings after which the backoff no longer grows.
const MAX_DOUBLINGS_COUNT: u32 = 6;

/// Circuit breaker with exponential backoff. It reads no clock; callers pass the time.
#[derive(Clone, Copy, Debug, Default)]
pub struct CircuitBreaker {
    failures_count: u32,
    open_until: Option<Instant>,
}

impl CircuitBreaker {
    /// Checks whether a call may be tried at `now`. After the backoff, one trial call is allowed;
    /// further calls are allowed once it succeeds or after another backoff.
    ///
    /// # Errors
    /// The time that is left until the next trial call.
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

    /// Records a success, which closes the circuit.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Records a failure. `jitter` from 0 to 1 lengthens the backoff by up to half.
    pub fn record_failure(&mut self, now: Instant, jitter: f64) {
        self.failures_count = self.failures_count.saturating_add(1);
        let Some(doublings_count) = self.failures_count.checked_sub(FAILURE_THRESHOLD_COUNT) else {
            return;
        };
        let backoff =
            (INITIAL_BACKOFF * (1 << doublings_count.min(MAX_DOUBLINGS_COUNT))).min(MAX_BACKOFF);
        self.open_until = Some(now + backoff.mul_f64(1.0 + jitter / 2.0));
    }

    /// Whether there was no failure since the last success.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.failures_count == 0
    }
}
