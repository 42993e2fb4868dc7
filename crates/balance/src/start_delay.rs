//! How long calls wait at a target before it begins them.

use std::time::Duration;

/// The peak fades by half in this time without longer waits.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// Longest recent time from sending a call to its first event, fading with time.
///
/// Answers a target whose queue has grown: a call that must have begun by a certain moment is not
/// sent there any more once the wait would reach beyond it. A peak, since the bound holds for each
/// call and not for the mean. Times are since an origin that stays the same.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StartDelay {
    peak: Duration,
    peak_at: Duration,
}

impl StartDelay {
    /// Counts a call that took `took` to its first event, which came at `now`.
    pub fn record(&mut self, delay: Duration, now: Duration) {
        if delay >= self.expected(now) {
            self.peak = delay;
            self.peak_at = now;
        }
    }

    /// The time that a call sent at `now` should be given to begin.
    #[must_use]
    pub fn expected(&self, now: Duration) -> Duration {
        let age = now.saturating_sub(self.peak_at).as_secs_f64();
        let decay_factor = (-age / HALF_LIFE.as_secs_f64()).exp2();
        self.peak.mul_f64(decay_factor)
    }
}
