//! Detects stores whose transfers take longer than expected.
//!
//! The link of a store can be slower than estimated, or other instances can use it more than
//! estimated. Calls that wait for a store are therefore compared with calls that wait for none.
//! Each delayed call raises the store's estimated transfer times, so that fewer calls use the store
//! until it has recovered.

use std::time::Duration;

/// Weight of the latest call in the moving average of the time to the first event.
const LATEST_WEIGHT: f64 = 0.05;
/// A call is delayed if its first event takes longer than the baseline, twice the expected wait and
/// this margin together.
const DELAY_MARGIN: Duration = Duration::from_millis(200);
/// Factor by which each delayed call raises a store's estimated transfer times.
const SLOWDOWN_STEP: f64 = 1.3;
/// Upper limit of the slowdown factor.
const MAX_SLOWDOWN: f64 = 16.0;
/// Time in which the slowdown factor's excess over 1 halves if no further call is delayed.
const HALF_LIFE: Duration = Duration::from_millis(1_500);

/// Moving average of the time to the first event, over calls that wait for no store.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct BaselineLatency {
    mean: Duration,
}

impl BaselineLatency {
    /// Adds a call that waited for no store.
    pub(crate) fn record(&mut self, took: Duration) {
        self.mean = self.mean.mul_f64(1.0 - LATEST_WEIGHT) + took.mul_f64(LATEST_WEIGHT);
    }

    /// Whether a call was delayed. `took` is the time to its first event, `expected` the wait for
    /// stores that was planned.
    pub(crate) fn is_delayed(&self, took: Duration, expected: Duration) -> bool {
        took > self.mean + expected * 2 + DELAY_MARGIN
    }
}

/// Factor by which a store's transfers are estimated to be slower than configured.
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
    /// The factor at `now`; at least 1.
    pub(crate) fn factor(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        let remaining_share = (-age / HALF_LIFE.as_secs_f64()).exp2();
        1.0 + (self.last_factor - 1.0) * remaining_share
    }

    /// Raises the factor after a delayed call.
    pub(crate) fn record_delay(&mut self, now: Duration) {
        self.last_factor = (self.factor(now) * SLOWDOWN_STEP).min(MAX_SLOWDOWN);
        self.updated_at = now;
    }
}
