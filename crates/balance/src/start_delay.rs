//! How long calls wait at a target before it starts them.

use std::time::Duration;

/// Time in which the peak halves if no longer delay is recorded.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// Exponentially decaying peak of the time from sending a call to its first event.
///
/// It shows when the queue of a target has grown: a call with a start deadline is not sent to a
/// target whose expected delay exceeds it. It is a peak and not a mean because the deadline applies
/// to every single call. `now` is always the time since a fixed origin.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StartDelay {
    peak: Duration,
    peak_at: Duration,
}

impl StartDelay {
    /// Records a call whose first event (or whole answer, if it is not streamed) came at `now`,
    /// `delay` after it was sent, or that was abandoned at `now` after `delay`.
    pub fn record(&mut self, delay: Duration, now: Duration) {
        if delay >= self.expected(now) {
            self.peak = delay;
            self.peak_at = now;
        }
    }

    /// Returns the decayed peak: the delay to assume until a call sent at `now` starts.
    #[must_use]
    pub fn expected(&self, now: Duration) -> Duration {
        let age = now.saturating_sub(self.peak_at).as_secs_f64();
        let decay_factor = (-age / HALF_LIFE.as_secs_f64()).exp2();
        self.peak.mul_f64(decay_factor)
    }
}
