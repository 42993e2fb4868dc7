//! What is known of each client account's prompts.

use std::time::Duration;

/// Weight of the newest gap in the mean.
const INTERVAL_SMOOTHING_FACTOR: f32 = 0.1;
/// Mean gap that is assumed before any prompt has returned.
const DEFAULT_REUSE_INTERVAL_S: f32 = 3_600.0;
/// Mean gaps after which a use counts `1/e` of a fresh one.
const DECAY_TIME_INTERVALS: f32 = 4.0;
/// Shortest ageing time in seconds.
const MIN_DECAY_TIME_S: f32 = 1.0;

/// How the prompts of one client account return.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AccountReuse {
    /// Blocks that were computed.
    pub computed_blocks_count: u64,
    /// Of these, blocks that were asked again at least once.
    pub reused_blocks_count: u64,
    /// Mean gap between two uses of a block in seconds, newest gaps weighing most.
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
    /// Probability that a block that was computed once is asked again; 0.5 without history.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn reuse_probability(&self) -> f64 {
        (self.reused_blocks_count as f64 + 1.0) / (self.computed_blocks_count as f64 + 2.0)
    }

    /// Time after which a use counts `1/e` of a fresh one.
    #[must_use]
    pub fn decay_time(&self) -> Duration {
        Duration::from_secs_f32(
            (self.mean_reuse_interval_s * DECAY_TIME_INTERVALS).max(MIN_DECAY_TIME_S),
        )
    }

    /// Takes one more gap into the mean.
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
