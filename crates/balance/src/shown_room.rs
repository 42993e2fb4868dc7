//! Room that a target has lately shown by taking calls.

use std::time::Duration;

/// Time for which a call that was taken shows room, at least; at most twice as long.
const SHOWN_TIME: Duration = Duration::from_secs(2);
/// Number of calls that are sent beyond the room that was shown, before more is shown. If there is none,
/// the target refuses so many before the first refusal is heard, however late that is; so this is also the
/// number of refusals that one instance may cause at a full target.
pub(crate) const UNSHOWN_CALLS_COUNT: u32 = 2;

/// Largest number of calls of this instance that a target has lately had at the same time without
/// refusing the last of them. Times are by any clock that does not go back.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ShownRoom {
    /// Shown since `since`.
    recent_count: u32,
    /// Shown in the time before that.
    earlier_count: u32,
    since: Duration,
}

impl ShownRoom {
    /// Records at `now` that the target answered a call that it had not refused, which was sent when
    /// it made up `in_flight_count` calls of this instance there.
    pub fn record(&mut self, in_flight_count: u32, now: Duration) {
        *self = self.at(now);
        self.recent_count = self.recent_count.max(in_flight_count);
    }

    /// Number of calls that this instance may have in flight at the target at `now`.
    #[must_use]
    pub fn places_count(&self, now: Duration) -> u32 {
        let shown = self.at(now);
        shown
            .recent_count
            .max(shown.earlier_count)
            .saturating_add(UNSHOWN_CALLS_COUNT)
    }

    /// What still counts at `now`.
    fn at(&self, now: Duration) -> Self {
        let elapsed = now.saturating_sub(self.since);
        if elapsed < SHOWN_TIME {
            return *self;
        }
        let is_recent = elapsed < SHOWN_TIME * 2;
        Self {
            recent_count: 0,
            earlier_count: if is_recent { self.recent_count } else { 0 },
            since: now,
        }
    }
}
