//! Since when what the key-value service says is known to hold.

use std::time::Duration;

/// A process that did not run for longer than this may have been suspended.
const MAX_TICK_GAP: Duration = Duration::from_millis(500);

/// Tells how old an answer may be that is read now.
///
/// An answer that arrives while the process is suspended is read when it wakes, and looks as if it had
/// just been given. Times are those of a clock that counts suspension.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SuspensionDetector {
    last_ran_at: Duration,
    /// When the process ran last before a suspension, until a question that was asked after it is
    /// answered.
    suspended_since: Option<Duration>,
}

impl SuspensionDetector {
    /// A clock of a process that runs at `now`.
    #[must_use]
    pub fn new(now: Duration) -> Self {
        Self {
            last_ran_at: now,
            suspended_since: None,
        }
    }

    /// Notes that the process runs at `now`. Call it several times in the longest pause. Returns
    /// whether the process may have been suspended since the last answer.
    pub fn tick(&mut self, now: Duration) -> bool {
        let is_late = now.saturating_sub(self.last_ran_at) > MAX_TICK_GAP;
        if is_late {
            self.suspended_since = self.suspended_since.or(Some(self.last_ran_at));
        }
        self.last_ran_at = now;
        self.suspended_since.is_some()
    }

    /// When an answer that has been read to its end at `now` was given at the earliest, if it came
    /// without delay. The next question is asked after that.
    pub fn answer_received(&mut self, now: Duration) -> Duration {
        self.tick(now);
        self.suspended_since.take().unwrap_or(now)
    }
}
