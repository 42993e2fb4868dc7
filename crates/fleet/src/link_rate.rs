//! Measured rate of a link.

use std::time::Duration;

/// Weight of the newest measurement.
const NEWEST_WEIGHT: f64 = 0.25;
/// Standard deviation assumed of a link that was not measured, as a share of its rate.
const CONFIGURED_DEVIATION_SHARE: f64 = 0.5;
/// Transfers shorter than this in bytes tell more of latency than of rate.
const MIN_TRANSFER_BYTES: u64 = 4 * 1024;

/// Time without a measurement after which `1/e` of what was measured still counts, in seconds.
const MEMORY_S: f64 = 10.0;

/// Exponentially weighted mean and variance of a link's rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinkRate {
    /// Mean rate in bytes a second.
    pub mean_bytes_per_s: f64,
    /// Variance of the rate, in squared bytes a second.
    pub variance: f64,
    /// Whether any transfer was measured.
    pub is_measured: bool,
}

impl LinkRate {
    /// A link of which only the configured rate is known.
    #[must_use]
    pub fn configured(bytes_per_s: u64) -> Self {
        #[allow(clippy::cast_precision_loss)]
        let mean_bytes_per_s = bytes_per_s.max(1) as f64;
        Self {
            mean_bytes_per_s,
            variance: (mean_bytes_per_s * CONFIGURED_DEVIATION_SHARE).powi(2),
            is_measured: false,
        }
    }

    /// The rate `idle` after the last measurement: what was measured gives way to what is
    /// configured. Otherwise a link that was found slow once would never be used, nor measured,
    /// again.
    #[must_use]
    pub fn decayed(self, configured: Self, idle: Duration) -> Self {
        let kept = (-idle.as_secs_f64() / MEMORY_S).exp();
        let mix = |measured: f64, configured: f64| configured + kept * (measured - configured);
        Self {
            mean_bytes_per_s: mix(self.mean_bytes_per_s, configured.mean_bytes_per_s),
            variance: mix(self.variance, configured.variance),
            ..self
        }
    }

    /// Takes in one transfer of `bytes` that took `seconds`.
    pub fn record_transfer(&mut self, bytes: u64, seconds: f64) {
        if bytes < MIN_TRANSFER_BYTES || seconds <= 0.0 {
            return;
        }
        #[allow(clippy::cast_precision_loss)]
        let rate = bytes as f64 / seconds;
        let difference = rate - self.mean_bytes_per_s;
        // What was configured says little about what one transfer gets.
        let weight = if self.is_measured { NEWEST_WEIGHT } else { 1.0 };
        self.is_measured = true;
        self.mean_bytes_per_s += weight * difference;
        self.variance =
            (1.0 - NEWEST_WEIGHT) * (self.variance + NEWEST_WEIGHT * difference * difference);
    }
}
