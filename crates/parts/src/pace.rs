//! How much longer a store's transfers take than they should.
//!
//! Answers a link that slows down, or that other instances use more than is reckoned: the calls
//! that wait for a store are compared with those that wait for none, and a store that holds its
//! calls up gets fewer of them until it keeps pace again.

use std::time::Duration;

/// Weight of the latest call in the usual time to the first event.
const LATEST_WEIGHT: f64 = 0.05;
/// A call is held up if it takes this much longer than usual and twice as long as reckoned.
const HELD_UP: Duration = Duration::from_millis(200);
/// Factor on a store's times after a call that was held up.
const SLOWER: f64 = 1.3;
/// Most that a store's times are stretched.
const MAX_SLOWNESS: f64 = 16.0;
/// What a store's times are stretched by halves in this time.
const HALF_LIFE: Duration = Duration::from_millis(1_500);

/// Time that calls usually take to their first event if they wait for no store.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Usual {
    time: Duration,
}

impl Usual {
    /// Counts a call that waited for no store.
    pub(crate) fn record(&mut self, took: Duration) {
        self.time = self.time.mul_f64(1.0 - LATEST_WEIGHT) + took.mul_f64(LATEST_WEIGHT);
    }

    /// Whether a call that waited for a store took too long.
    pub(crate) fn is_held_up(&self, took: Duration, expected: Duration) -> bool {
        took > self.time + expected * 2 + HELD_UP
    }
}

/// How much a store's times are stretched.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Pace {
    slowness: f64,
    at: Duration,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            slowness: 1.0,
            at: Duration::ZERO,
        }
    }
}

impl Pace {
    /// The factor at `now`.
    pub(crate) fn slowness(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        let left = (-age / HALF_LIFE.as_secs_f64()).exp2();
        1.0 + (self.slowness - 1.0) * left
    }

    /// Counts a call that was held up.
    pub(crate) fn slow_down(&mut self, now: Duration) {
        self.slowness = (self.slowness(now) * SLOWER).min(MAX_SLOWNESS);
        self.at = now;
    }
}
