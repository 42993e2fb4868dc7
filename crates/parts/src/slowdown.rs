//! How much longer a store's transfers take than they should.
//!
//! Answers a link that slows down, or that other instances use more than is reckoned: the calls
//! that wait for a store are compared with those that wait for none, and a store that holds its
//! calls up gets fewer of them until it keeps pace again.

use std::time::Duration;

/// Weight of the latest call in the usual time to the first event.
const LATEST_WEIGHT: f64 = 0.05;
/// A call is held up if it takes this much longer than usual and twice as long as reckoned.
const DELAY_MARGIN: Duration = Duration::from_millis(200);
/// Factor on a store's times after a call that was held up.
const SLOWDOWN_STEP: f64 = 1.3;
/// Most that a store's times are stretched.
const MAX_SLOWDOWN: f64 = 16.0;
/// What a store's times are stretched by halves in this time.
const HALF_LIFE: Duration = Duration::from_millis(1_500);

/// Time that calls usually take to their first event if they wait for no store.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct BaselineLatency {
    mean: Duration,
}

impl BaselineLatency {
    /// Counts a call that waited for no store.
    pub(crate) fn record(&mut self, took: Duration) {
        self.mean = self.mean.mul_f64(1.0 - LATEST_WEIGHT) + took.mul_f64(LATEST_WEIGHT);
    }

    /// Whether a call that waited for a store took too long.
    pub(crate) fn is_delayed(&self, took: Duration, expected: Duration) -> bool {
        took > self.mean + expected * 2 + DELAY_MARGIN
    }
}

/// How much a store's times are stretched.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Slowdown {
    last_factor: f64,
    updated_at: Duration,
}

impl Default for Slowdown {
    fn default() -> Self {
        Self {
            last_factor: 1.0,
            updated_at: Duration::ZERO,
        }
    }
}

impl Slowdown {
    /// The factor at `now`.
    pub(crate) fn factor(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        let remaining_share = (-age / HALF_LIFE.as_secs_f64()).exp2();
        1.0 + (self.last_factor - 1.0) * remaining_share
    }

    /// Counts a call that was held up.
    pub(crate) fn record_delay(&mut self, now: Duration) {
        self.last_factor = (self.factor(now) * SLOWDOWN_STEP).min(MAX_SLOWDOWN);
        self.updated_at = now;
    }
}
