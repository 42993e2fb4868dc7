//! Protection of a target that fails if it has to refuse too many calls.

use std::time::Duration;

/// Lowest bound that is reckoned with, in refusals per second. A target that bears none is tried
/// again after the time that follows from this.
const MIN_REFUSALS_PER_S: f64 = 0.2;

/// Keeps the refusals that this instance causes at a target within its part of the target's bound.
/// Times are by [`crate::boot_time`].
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct RefusalBound {
    /// Refusals per second that the target bears from all instances together; `None` if it states
    /// no bound.
    max_per_s: Option<f64>,
    /// Until then the target gets no call, since it has refused one.
    spared_until: Duration,
}

impl RefusalBound {
    /// Records what an answer states. Returns whether that is new.
    pub(crate) fn state(&mut self, max_per_s: Option<f64>) -> bool {
        let is_new = self.max_per_s != max_per_s;
        self.max_per_s = max_per_s;
        is_new
    }

    /// Refusals per second that the target bears; `None` if its last answer states no bound.
    pub(crate) fn max_per_s(&self) -> Option<f64> {
        self.max_per_s
    }

    /// Whether the target's last answer stated a bound.
    pub(crate) fn is_stated(&self) -> bool {
        self.max_per_s.is_some()
    }

    /// Records that the target refused a call. The target is spared for so long that a refusal of
    /// each of `instances_count` instances in that time keeps the bound.
    pub(crate) fn record_refusal(&mut self, instances_count: u32, now: Duration) {
        if let Some(max_per_s) = self.max_per_s {
            let refusals_per_s = max_per_s.max(MIN_REFUSALS_PER_S);
            let pause = f64::from(instances_count.max(1)) / refusals_per_s;
            self.spared_until = now + Duration::from_secs_f64(pause);
        }
    }

    /// Whether the target gets no call now: it has refused one lately, or all its places are taken.
    pub(crate) fn forbids_call(
        &self,
        in_flight_count: f64,
        slots_count: u32,
        now: Duration,
    ) -> bool {
        let is_full = in_flight_count >= f64::from(slots_count);
        self.is_stated() && (now < self.spared_until || is_full)
    }

    /// Time for which the target is still spared; `None` if its places are taken, which may end at any
    /// time.
    pub(crate) fn spared_for(&self, now: Duration) -> Option<Duration> {
        self.spared_until
            .checked_sub(now)
            .filter(|it| !it.is_zero())
    }
}
