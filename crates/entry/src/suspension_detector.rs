//! Detects suspensions of the process, which make responses older than they look.

use std::time::Duration;

/// A longer gap between two ticks counts as a suspension.
const MAX_TICK_GAP: Duration = Duration::from_millis(500);

/// Determines how old a response may be when it is read.
///
/// A response that arrives while the process is suspended is read after it resumes, and looks as if
/// it had just been sent. Times are those of a clock that keeps running during suspension.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SuspensionDetector {
    last_ran_at: Duration,
    /// Last tick before a suspension. Cleared by the next response, since the request after that is
    /// sent after the suspension.
    suspended_since: Option<Duration>,
}

impl SuspensionDetector {
    /// Creates a detector for a process that runs at `now`.
    #[must_use]
    pub fn new(now: Duration) -> Self {
        Self {
            last_ran_at: now,
            suspended_since: None,
        }
    }

    /// Records that the process runs at `now`. Call it several times per `MAX_TICK_GAP`. Returns
    /// whether the process may have been suspended since the last response.
    pub fn tick(&mut self, now: Duration) -> bool {
        let is_late = now.saturating_sub(self.last_ran_at) > MAX_TICK_GAP;
        if is_late {
            self.suspended_since = self.suspended_since.or(Some(self.last_ran_at));
        }
        self.last_ran_at = now;
        self.suspended_since.is_some()
    }

    /// Returns the earliest time at which a response that was read completely at `now` may have
    /// been sent, assuming no network delay. The next request must be sent after this call.
    pub fn answer_received(&mut self, now: Duration) -> Duration {
        self.tick(now);
        self.suspended_since.take().unwrap_or(now)
    }
}
