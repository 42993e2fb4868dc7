//! The measured rate of a link.

use std::time::Duration;

/// Weight of the newest measurement in the moving averages.
const NEWEST_WEIGHT: f64 = 0.25;
/// Standard deviation assumed for a link that was never measured, as a share of its rate.
const CONFIGURED_DEVIATION_SHARE: f64 = 0.5;
/// Size in bytes below which a transfer is ignored, since its time depends more on the latency than
/// on the rate.
const MIN_TRANSFER_BYTES: u64 = 4 * 1024;

/// Time in seconds without a measurement after which a measured rate has decayed to a weight of
/// `1/e`.
const DECAY_TIME_S: f64 = 10.0;

/// Exponentially weighted moving mean and variance of a link's rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinkRate {
    /// Mean rate, in bytes per second.
    pub mean_bytes_per_s: f64,
    /// Variance of the rate, in the square of bytes per second.
    pub variance: f64,
    /// Whether at least one transfer was measured.
    pub is_measured: bool,
}

impl LinkRate {
    /// Creates the rate of a link of which only the configured rate is known.
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

    /// Returns the rate after `idle` has passed since the last measurement: the measured rate
    /// decays towards the `configured` one. Otherwise a link that was measured as slow once would
    /// never be used again, and so never be measured again.
    #[must_use]
    pub fn decayed(self, configured: Self, idle: Duration) -> Self {
        let measured_weight = (-idle.as_secs_f64() / DECAY_TIME_S).exp();
        let blend =
            |measured: f64, configured: f64| configured + measured_weight * (measured - configured);
        Self {
            mean_bytes_per_s: blend(self.mean_bytes_per_s, configured.mean_bytes_per_s),
            variance: blend(self.variance, configured.variance),
            ..self
        }
    }

    /// Updates the averages with one transfer of `bytes` that took `seconds`.
    pub fn record_transfer(&mut self, bytes: u64, seconds: f64) {
        if bytes < MIN_TRANSFER_BYTES || seconds <= 0.0 {
            return;
        }
        #[allow(clippy::cast_precision_loss)]
        let rate = bytes as f64 / seconds;
        let difference = rate - self.mean_bytes_per_s;
        // The first measurement replaces the configured mean, which says little about the rate that
        // one transfer gets.
        let weight = if self.is_measured { NEWEST_WEIGHT } else { 1.0 };
        self.is_measured = true;
        self.mean_bytes_per_s += weight * difference;
        self.variance =
            (1.0 - NEWEST_WEIGHT) * (self.variance + NEWEST_WEIGHT * difference * difference);
    }
}
