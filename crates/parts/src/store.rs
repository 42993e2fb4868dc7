//! One store.

use {
    crate::{PartKey, slowdown::Slowdown},
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
    pub(crate) link_free_at: Duration,
    /// How much longer transfers take than they should.
    pub(crate) slowdown: Slowdown,
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
            link_free_at: Duration::ZERO,
            slowdown: Slowdown::default(),
        }
    }

    /// Share of the room that is free, from 0 to 1.
    #[must_use]
    pub fn free_share(&self) -> f64 {
        #[allow(clippy::cast_precision_loss)]
        let used_share = self.held_tokens as f64 / self.capacity_tokens.max(1) as f64;
        (1.0 - used_share).max(0.0)
    }

    /// Reckons with `time` more on its link.
    pub(crate) fn reserve_link(&mut self, time: Duration, now: Duration) {
        self.link_free_at = self.link_free_at.max(now) + time;
    }

    /// Rendezvous weight for a part that an engine in `failure_domain` saves: in proportion to the free
    /// room, and in favour of stores near the engine.
    pub(crate) fn save_weight(&self, part: PartKey, failure_domain: &str) -> f64 {
        let hash = rendezvous::score(part, self.seed);
        #[allow(clippy::cast_precision_loss)]
        let uniform = ((hash >> 11) as f64 + 0.5) / 2_f64.powi(53);
        #[allow(clippy::cast_precision_loss)]
        let free_tokens = self.capacity_tokens as f64 * self.free_share();
        let locality = if self.failure_domain == failure_domain {
            LOCAL_WEIGHT
        } else {
            1.0
        };
        free_tokens.max(1.0) / -uniform.ln() * locality
    }

    /// Time that a transfer from or to `failure_domain` takes by itself.
    pub(crate) fn transfer_time(
        &self,
        tokens: u32,
        failure_domain: &str,
        now: Duration,
    ) -> Duration {
        let distance_factor = if self.failure_domain == failure_domain {
            1.0
        } else {
            REMOTE_FACTOR
        };
        self.setup_time
            + (self.time_per_token * tokens).mul_f64(distance_factor * self.slowdown.factor(now))
    }
}

/// Transfers between failure domains take this many times as long.
const REMOTE_FACTOR: f64 = 2.0;
/// Weight of a store in the engine's failure domain against one elsewhere.
const LOCAL_WEIGHT: f64 = 4.0;
