//! Exponentially decaying sum.

use std::time::Duration;

/// Time in which what was added loses half of its weight.
const HALF_LIFE: Duration = Duration::from_secs(1);

/// Sum in which each amount halves in [`HALF_LIFE`]. `now` is always the time since a fixed origin.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DecayedSum {
    /// Value at `updated_at`, in the unit of the amounts.
    value: f64,
    updated_at: Duration,
}

impl DecayedSum {
    /// Adds `amount` at `now`.
    pub(crate) fn add(&mut self, amount: f64, now: Duration) {
        self.value = self.value(now) + amount;
        self.updated_at = self.updated_at.max(now);
    }

    /// Value at `now`.
    pub(crate) fn value(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        self.value * (-age / HALF_LIFE.as_secs_f64()).exp2()
    }
}
