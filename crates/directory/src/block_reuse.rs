//! Use count of a block with exponential decay.

use {crate::block::Tick, std::time::Duration};

/// Uses of one block, which decay with the time since the last one.
///
/// Every use of a prompt counts for all its blocks. A block therefore has at least as many uses,
/// and at least as recent a last use, as any later block of the same prompt. Whatever the decay
/// time, it is never less valuable, so eviction takes the end of a prompt first.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct BlockReuse {
    /// Time of the last use.
    last_used: Tick,
    /// Number of uses; saturates at 65,535.
    count: u16,
}

impl BlockReuse {
    /// Counts a use at `now`.
    pub(crate) fn record_use(&mut self, now: Duration) {
        self.count = self.count.saturating_add(1);
        self.last_used = now.into();
    }

    /// Number of uses times `exp(-idle / decay_time)`.
    pub(crate) fn decayed_count(self, now: Duration, decay_time: Duration) -> f32 {
        let idle_decay_times = self.idle_s(now) / decay_time.as_secs_f32().max(f32::EPSILON);
        f32::from(self.count) * (-idle_decay_times).exp()
    }

    /// Expected uses per second.
    pub(crate) fn rate_per_s(self, now: Duration, decay_time: Duration) -> f32 {
        self.decayed_count(now, decay_time) / decay_time.as_secs_f32().max(f32::EPSILON)
    }

    /// Whether the block was used more than once.
    pub(crate) fn is_reused(self) -> bool {
        self.count > 1
    }

    /// Seconds since the last use.
    pub(crate) fn idle_s(self, now: Duration) -> f32 {
        self.last_used.seconds_until(now.into())
    }
}
