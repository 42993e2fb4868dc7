//! How often a block is used, aged exponentially.

use {crate::block::Tick, std::time::Duration};

/// Uses of one block, aged by the time since the last one.
///
/// Every use of a prompt touches all its blocks. So a block has at least as many uses, and as late
/// a last use, as any block that comes after it in a prompt, and is never worth less, whatever the
/// ageing time: eviction takes the end of a prompt first.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct BlockReuse {
    /// Time of the last use.
    last_use: Tick,
    /// Number of uses; saturates.
    count: u16,
}

impl BlockReuse {
    /// Counts one use.
    pub(crate) fn record(&mut self, now: Duration) {
        self.count = self.count.saturating_add(1);
        self.last_use = now.into();
    }

    /// Number of uses times `exp(-idle / ageing)`.
    pub(crate) fn aged_count(self, now: Duration, ageing: Duration) -> f32 {
        let idle_ageings = self.idle_s(now) / ageing.as_secs_f32().max(f32::EPSILON);
        f32::from(self.count) * (-idle_ageings).exp()
    }

    /// Expected uses a second.
    pub(crate) fn rate_per_s(self, now: Duration, ageing: Duration) -> f32 {
        self.aged_count(now, ageing) / ageing.as_secs_f32().max(f32::EPSILON)
    }

    /// Whether there was more than one use.
    pub(crate) fn returned(self) -> bool {
        self.count > 1
    }

    /// Seconds since the last use.
    pub(crate) fn idle_s(self, now: Duration) -> f32 {
        self.last_use.seconds_until(now.into())
    }
}
