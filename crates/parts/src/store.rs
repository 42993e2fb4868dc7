//! One store.

use {
    crate::{PartKey, pace::Pace},
    balance::rendezvous,
    std::{net::SocketAddr, time::Duration},
};

/// A store as known.
#[derive(Clone, Debug, PartialEq)]
pub struct Store {
    /// Address.
    pub address: SocketAddr,
    /// Failure domain that it stands in.
    pub failure_domain: String,
    /// Room in tokens.
    pub capacity_tokens: u64,
    /// Time that its link takes for one token within the failure domain.
    pub time_per_token: Duration,
    /// Time that a transfer takes besides.
    pub setup_time: Duration,
    /// Tokens of the parts that it is known to hold.
    pub held_tokens: u64,
    /// Whether it answers.
    pub available: bool,
    /// Rendezvous seed of its address.
    pub(crate) seed: u64,
    /// When its link has carried all that was planned, as estimated.
    pub(crate) free_at: Duration,
    /// How much longer transfers take than they should.
    pub(crate) pace: Pace,
}

impl Store {
    /// An empty store whose link takes no time.
    #[must_use]
    pub fn new(address: SocketAddr, capacity_tokens: u64) -> Self {
        Self {
            seed: rendezvous::member_seed(&address.to_string()),
            address,
            failure_domain: String::new(),
            capacity_tokens,
            time_per_token: Duration::ZERO,
            setup_time: Duration::ZERO,
            held_tokens: 0,
            available: true,
            free_at: Duration::ZERO,
            pace: Pace::default(),
        }
    }

    /// Share of the room that is free, from 0 to 1.
    #[must_use]
    pub fn free_share(&self) -> f64 {
        #[allow(clippy::cast_precision_loss)]
        let used = self.held_tokens as f64 / self.capacity_tokens.max(1) as f64;
        (1.0 - used).max(0.0)
    }

    /// Reckons with `time` more on its link.
    pub(crate) fn occupy(&mut self, time: Duration, now: Duration) {
        self.free_at = self.free_at.max(now) + time;
    }

    /// Rendezvous weight for a part that an engine in `failure_domain` saves: in proportion to the free
    /// room, and in favour of stores near the engine.
    pub(crate) fn weight(&self, part: PartKey, failure_domain: &str) -> f64 {
        let mixed = rendezvous::score(part, self.seed);
        #[allow(clippy::cast_precision_loss)]
        let unit = ((mixed >> 11) as f64 + 0.5) / 2_f64.powi(53);
        #[allow(clippy::cast_precision_loss)]
        let room = self.capacity_tokens as f64 * self.free_share();
        let near = if self.failure_domain == failure_domain {
            NEAR_WEIGHT
        } else {
            1.0
        };
        room.max(1.0) / -unit.ln() * near
    }

    /// Time that a transfer from or to `failure_domain` takes by itself.
    pub(crate) fn transfer_time(
        &self,
        tokens: u32,
        failure_domain: &str,
        now: Duration,
    ) -> Duration {
        let factor = if self.failure_domain == failure_domain {
            1.0
        } else {
            FAR_FACTOR
        };
        self.setup_time + (self.time_per_token * tokens).mul_f64(factor * self.pace.slowness(now))
    }
}

/// Transfers between failure domains take this many times as long.
const FAR_FACTOR: f64 = 2.0;
/// Weight of a store in the engine's failure domain against one elsewhere.
const NEAR_WEIGHT: f64 = 4.0;
