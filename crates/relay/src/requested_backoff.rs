//! The time for which a target that refused a call wants no more calls.

use std::time::Duration;

/// Time after a backoff in which calls go to the target one by one at first, so that it is not
/// overrun by all that have waited for it.
const RECOVERY_TIME: Duration = Duration::from_secs(1);
/// Extension of a backoff that is worth telling. The refusals of calls that were under way together
/// extend it by less.
const NOTABLE_EXTENSION: Duration = Duration::from_millis(500);
/// Time after a backoff from which each instance has returned.
const MAX_RETURN_TIME: Duration = Duration::from_secs(3);
/// Number of calls that each answer in the recovery time lets through.
const CALLS_PER_ANSWER: u32 = 2;

/// A backoff that a target has requested, and the gradual return to it. Times are by
/// [`crate::boot_time`].
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct RequestedBackoff {
    /// End of the backoff; `None` if the target has requested none.
    until: Option<Duration>,
    /// Number of calls that may still be sent in the recovery time.
    allowed_count: u32,
    /// Time after the end of the backoff at which it is this instance's turn to return.
    return_delay: Duration,
}

impl RequestedBackoff {
    /// Records that the target wants no calls for `delay` from `now` on. An earlier request that lasts
    /// longer still holds. Returns whether a backoff begins or becomes notably longer.
    pub(crate) fn request(&mut self, delay: Duration, now: Duration) -> bool {
        let until = now.saturating_add(delay);
        let running_until = self.until.filter(|running_until| now < *running_until);
        self.until = self.until.max(Some(until));
        self.allowed_count = 1;
        running_until.is_none_or(|before| until.saturating_sub(before) > NOTABLE_EXTENSION)
    }

    /// Time until a call may be sent; zero if it may be sent now.
    pub(crate) fn time_until_call(&self, now: Duration) -> Duration {
        let Some(until) = self.until else {
            return Duration::ZERO;
        };
        let is_over = now >= until;
        if is_over && self.allowed_count > 0 {
            return Duration::ZERO;
        }
        let recovery_time = if is_over {
            self.return_delay + RECOVERY_TIME
        } else {
            Duration::ZERO
        };
        until.saturating_add(recovery_time).saturating_sub(now)
    }

    /// Whether other instances go to the target first, and this one only if it has no other target.
    /// `return_delay` is asked for the time after the end of the backoff at which it is its turn.
    pub(crate) fn is_before_turn<ReturnDelay>(
        &mut self,
        now: Duration,
        return_delay: ReturnDelay,
    ) -> bool
    where
        ReturnDelay: FnOnce() -> Duration,
    {
        let Some(since_end) = self.until.and_then(|until| now.checked_sub(until)) else {
            return false;
        };
        if since_end >= MAX_RETURN_TIME {
            return false;
        }
        self.return_delay = return_delay();
        since_end < self.return_delay
    }

    /// Records that a call is sent.
    pub(crate) fn take(&mut self) {
        self.allowed_count = self.allowed_count.saturating_sub(1);
    }

    /// Records that the target has taken a call and answers it.
    pub(crate) fn record_answer(&mut self, now: Duration) {
        if self.until.is_some_and(|until| now >= until) {
            self.allowed_count = self.allowed_count.saturating_add(CALLS_PER_ANSWER);
        }
    }
}
