//! Protection of a target that fails if it has to refuse too many calls.

use {
    crate::{
        pool_bounds::{PRESUMED_TIME, PoolBound},
        target_conditions::CallContext,
        target_limit::Senders,
    },
    balance::{BoundedPlaces, PlaceShare, RoomEstimate, ShownRoom},
    std::time::Duration,
};

/// Lowest bound that is reckoned with, in refusals per second. A target that bears none is tried
/// again after the time that follows from this.
const MIN_REFUSALS_PER_S: f64 = 0.2;
/// Age of a target's answer from which what other targets of its pool state counts for it too.
const MAX_ANSWER_AGE: Duration = Duration::from_secs(1);
/// Number of refusal periods after which one more call is sent to a target that has refused one, so
/// that the refusals that this causes stay far below the bound.
const RAISE_PERIODS_COUNT: u32 = 4;

/// A bound that is known, and what follows from it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct KnownBound {
    /// Refusals per second that the target is taken to bear from all instances together.
    pub(crate) max_refusals_per_s: f64,
    /// Number of calls that this instance may have in flight at the target.
    pub(crate) places_count: u32,
}

/// Keeps the calls of this instance within its part of the places of a target that bears few
/// refusals. Times are by [`crate::boot_time`].
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct RefusalBound {
    /// Refusals per second that the target bears from all instances together; `None` if it states
    /// no bound.
    max_per_s: Option<f64>,
    /// When the target last answered a call.
    answered_at: Option<Duration>,
    /// Until then the target gets no call, since it has refused one.
    spared_until: Duration,
    /// Places that this instance may use; `None` while no bound is known.
    share: Option<PlaceShare>,
    /// Room that the target's last refusal shows.
    room: Option<RoomEstimate>,
    /// Room that the target has shown by taking calls, also while no bound was known.
    shown_room: ShownRoom,
}

impl RefusalBound {
    /// Records what an answer states. Returns whether that is new.
    pub(crate) fn state(&mut self, max_per_s: Option<f64>, now: Duration) -> bool {
        let is_new = self.max_per_s != max_per_s;
        self.max_per_s = max_per_s;
        self.answered_at = Some(now);
        is_new
    }

    /// Refusals per second that the target is taken to bear; `None` if no bound is known. What the
    /// target states itself goes before what others of its pool state, as long as either is recent.
    fn max_per_s(&self, call: &CallContext<'_>) -> Option<f64> {
        let answer_age = self.answered_at.map(|it| call.now.saturating_sub(it));
        let has_answered_lately = answer_age.is_some_and(|age| age < PRESUMED_TIME);
        if self.max_per_s.is_some() && (has_answered_lately || call.pool_bound.is_some()) {
            return self.max_per_s;
        }
        let is_presumed = |bound: &PoolBound| {
            let answered_at = self.answered_at;
            answered_at.is_none_or(|it| it + MAX_ANSWER_AGE < bound.stated_at)
        };
        let presumed = call.pool_bound.filter(is_presumed);
        presumed.map(|it| it.max_per_s)
    }

    /// Records that the target refused a call while it had `in_flight_count` others of this instance.
    /// It is spared for a while, and then gets fewer at the same time.
    pub(crate) fn record_refusal(&mut self, call: &CallContext<'_>, in_flight_count: u32) {
        if let Some(places) = self.places(call) {
            self.spared_until = call.now + refusal_period(&places, call.senders);
            self.room = Some(RoomEstimate::after_refusal(in_flight_count, call.now));
        }
    }

    /// Records that the target took a call when that made up `in_flight_count` calls of this instance.
    pub(crate) fn record_accepted(&mut self, in_flight_count: u32, now: Duration) {
        self.shown_room.record(in_flight_count, now);
    }

    /// The bound, if one is known.
    pub(crate) fn known(&mut self, call: &CallContext<'_>) -> Option<KnownBound> {
        let Some(places) = self.places(call) else {
            (self.share, self.room) = (None, None);
            return None;
        };
        let part = places.part(call.senders.own_seed, call.senders.instance_seeds);
        let share = self.share.get_or_insert_with(|| PlaceShare::new(part));
        let share = share.update(part, call.now);
        let raise_period = refusal_period(&places, call.senders) * RAISE_PERIODS_COUNT;
        let room = self
            .room
            .map(|room| room.places_count(raise_period, call.now));
        Some(KnownBound {
            max_refusals_per_s: places.max_refusals_per_s,
            places_count: room
                .map_or(share, |room| room.min(share))
                .min(self.shown_room.places_count(call.now)),
        })
    }

    /// Whether the target gets no call besides the `in_flight_count` of this instance: it has refused
    /// one lately, or this instance has no free place there.
    pub(crate) fn forbids_call(&mut self, call: &CallContext<'_>, in_flight_count: u32) -> bool {
        self.known(call).is_some_and(|known| {
            self.spared_for(call.now).is_some() || in_flight_count >= known.places_count
        })
    }

    /// Time for which the target is still spared; `None` if it is not.
    pub(crate) fn spared_for(&self, now: Duration) -> Option<Duration> {
        self.spared_until
            .checked_sub(now)
            .filter(|it| !it.is_zero())
    }

    /// The target's places, if it is taken to bear few refusals.
    pub(crate) fn places(&self, call: &CallContext<'_>) -> Option<BoundedPlaces> {
        Some(BoundedPlaces {
            target_seed: call.target_seed,
            places_count: call.slots_count,
            max_refusals_per_s: self.max_per_s(call)?,
        })
    }
}

/// Time in which one refusal of each instance that sends to the target keeps the bound.
fn refusal_period(places: &BoundedPlaces, senders: Senders<'_>) -> Duration {
    let senders_count = places.senders_count(senders.instances_count());
    let refusals_per_s = places.max_refusals_per_s.max(MIN_REFUSALS_PER_S);
    Duration::from_secs_f64(f64::from(senders_count) / refusals_per_s)
}
