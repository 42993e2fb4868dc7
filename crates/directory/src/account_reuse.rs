//! Statistics on how often a client account's prompts are sent again.

use std::time::Duration;

/// Weight of the newest interval in the exponential moving average.
const INTERVAL_SMOOTHING_FACTOR: f32 = 0.1;
/// Mean reuse interval that is assumed until a prompt is sent again.
const DEFAULT_REUSE_INTERVAL_S: f32 = 3_600.0;
/// Decay time as a multiple of the mean reuse interval.
const DECAY_TIME_INTERVALS: f32 = 4.0;
/// Lower bound of the decay time.
const MIN_DECAY_TIME_S: f32 = 1.0;

/// How often the blocks of one client account are reused.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AccountReuse {
    /// Distinct blocks that engines have computed.
    pub computed_blocks_count: u64,
    /// Of these, blocks that were used again at least once.
    pub reused_blocks_count: u64,
    /// Exponential moving average of the time between two uses of a block, in seconds.
    pub mean_reuse_interval_s: f32,
}

impl Default for AccountReuse {
    fn default() -> Self {
        Self {
            computed_blocks_count: 0,
            reused_blocks_count: 0,
            mean_reuse_interval_s: DEFAULT_REUSE_INTERVAL_S,
        }
    }
}

impl AccountReuse {
    /// Probability from 0 to 1 that a block that was used once is used again; 0.5 without history.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn reuse_probability(&self) -> f64 {
        (self.reused_blocks_count as f64 + 1.0) / (self.computed_blocks_count as f64 + 2.0)
    }

    /// Time after which a use counts `1/e` of a new one.
    #[must_use]
    pub fn decay_time(&self) -> Duration {
        Duration::from_secs_f32(
            (self.mean_reuse_interval_s * DECAY_TIME_INTERVALS).max(MIN_DECAY_TIME_S),
        )
    }

    /// Records that a block was used again after `interval_s`. `is_first` says that this is the
    /// block's first reuse.
    pub(crate) fn record_reuse(&mut self, interval_s: f32, is_first: bool) {
        if is_first && self.reused_blocks_count == 0 {
            self.mean_reuse_interval_s = interval_s;
        } else {
            self.mean_reuse_interval_s +=
                INTERVAL_SMOOTHING_FACTOR * (interval_s - self.mean_reuse_interval_s);
        }
        self.reused_blocks_count += u64::from(is_first);
    }
}
