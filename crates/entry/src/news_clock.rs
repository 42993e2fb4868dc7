//! Since when what the key-value service says is known to hold.

use std::time::Duration;

/// A process that did not run for longer than this may have been suspended.
const MAX_PAUSE: Duration = Duration::from_millis(500);

/// Tells how old an answer may be that is read now.
///
/// An answer that arrives while the process is suspended is read when it wakes, and looks as if it had
/// just been given. Times are those of a clock that counts suspension.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct NewsClock {
    ran_at: Duration,
    /// When the process ran last before a suspension, until a question that was asked after it is
    /// answered.
    suspended_at: Option<Duration>,
}

impl NewsClock {
    /// A clock of a process that runs at `now`.
    #[must_use]
    pub fn new(now: Duration) -> Self {
        Self {
            ran_at: now,
            suspended_at: None,
        }
    }

    /// Notes that the process runs at `now`. Call it several times in the longest pause. Returns
    /// whether the process may have been suspended since the last answer.
    pub fn tick(&mut self, now: Duration) -> bool {
        let is_late = now.saturating_sub(self.ran_at) > MAX_PAUSE;
        if is_late {
            self.suspended_at = self.suspended_at.or(Some(self.ran_at));
        }
        self.ran_at = now;
        self.suspended_at.is_some()
    }

    /// When an answer that has been read to its end at `now` was given at the earliest, if it came
    /// without delay. The next question is asked after that.
    pub fn answered(&mut self, now: Duration) -> Duration {
        self.tick(now);
        self.suspended_at.take().unwrap_or(now)
    }
}
