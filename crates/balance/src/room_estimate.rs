//! Estimate of the room that a target has for the calls of this instance, from its refusals.

use std::time::Duration;

/// Number of calls that a target is taken to have room for, which grows until the next refusal.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RoomEstimate {
    places_count: u32,
    refused_at: Duration,
}

impl RoomEstimate {
    /// Creates the estimate after a target refused a call at `now` while it had `in_flight_count`
    /// others of this instance. Half of them may wait, and count against the room for calls that wait.
    #[must_use]
    pub fn after_refusal(in_flight_count: u32, now: Duration) -> Self {
        Self {
            places_count: (in_flight_count / 2).max(1),
            refused_at: now,
        }
    }

    /// Number of calls for which there is room at `now`, one more for each `raise_period`.
    #[must_use]
    pub fn places_count(&self, raise_period: Duration, now: Duration) -> u32 {
        let elapsed = now.saturating_sub(self.refused_at);
        let period_ms = raise_period.as_millis().max(1);
        let raised = u32::try_from(elapsed.as_millis() / period_ms).unwrap_or(u32::MAX);
        self.places_count.saturating_add(raised)
    }
}
