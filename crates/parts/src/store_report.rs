//! What is known of a store, for as long as it may be acted on.

use {
    crate::{PartKey, Store, store::MAX_REPORT_AGE},
    balance::rendezvous,
    std::{net::SocketAddr, time::Duration},
};

/// Factor on the transfer time per token between different failure domains.
const REMOTE_FACTOR: f64 = 2.0;
/// Factor on the weight of a store in the engine's own failure domain.
const LOCAL_WEIGHT: f64 = 4.0;

/// What is known of a store that answers, by a report recent enough to act on. It is of the store's
/// last incarnation that was reported, since what was known of an earlier one is dropped with it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StoreReport<'store> {
    store: &'store Store,
    now: Duration,
}

impl Store {
    /// What is known of the store; `None` once the last report has lapsed, or if the store does not
    /// answer. The only way to decide by a store's content.
    pub(crate) fn report(&self, now: Duration) -> Option<StoreReport<'_>> {
        let report_age = now.saturating_sub(self.reported_at?);
        let is_usable = self.available && report_age <= MAX_REPORT_AGE;
        is_usable.then_some(StoreReport { store: self, now })
    }
}

impl StoreReport<'_> {
    /// Address of the store.
    pub(crate) fn address(&self) -> SocketAddr {
        self.store.address
    }

    /// Whether a part may be saved to the store: not while another instance may believe that the
    /// store holds it from before a restart.
    pub(crate) fn takes_save_of(&self, part: PartKey) -> bool {
        let dropped = self.store.dropped.as_ref();
        dropped.is_none_or(|dropped| !dropped.may_be_believed(part, self.now))
    }

    /// Free share of the capacity, from 0 to 1.
    pub(crate) fn free_share(&self) -> f64 {
        #[allow(clippy::cast_precision_loss)]
        let used_share = self.store.held_tokens as f64 / self.store.capacity_tokens.max(1) as f64;
        (1.0 - used_share).max(0.0)
    }

    /// Time until the store's link has finished its planned transfers.
    pub(crate) fn queue_time(&self) -> Duration {
        self.store.link_free_at.saturating_sub(self.now)
    }

    /// Weight of this store in rendezvous hashing for a part that an engine in `failure_domain`
    /// saves. It is proportional to the free capacity, and higher for stores in the engine's
    /// failure domain.
    pub(crate) fn save_weight(&self, part: PartKey, failure_domain: &str) -> f64 {
        let hash = rendezvous::score(part, self.store.seed);
        #[allow(clippy::cast_precision_loss)]
        let uniform = ((hash >> 11) as f64 + 0.5) / 2_f64.powi(53);
        #[allow(clippy::cast_precision_loss)]
        let free_tokens = self.store.capacity_tokens as f64 * self.free_share();
        let locality = if self.store.failure_domain == failure_domain {
            LOCAL_WEIGHT
        } else {
            1.0
        };
        free_tokens.max(1.0) / -uniform.ln() * locality
    }

    /// Time that one transfer from or to `failure_domain` takes, without the wait for the link.
    pub(crate) fn transfer_time(&self, tokens: u32, failure_domain: &str) -> Duration {
        let distance_factor = if self.store.failure_domain == failure_domain {
            1.0
        } else {
            REMOTE_FACTOR
        };
        let slowdown = self.store.slowdown.factor(self.now);
        self.store.setup_time
            + (self.store.time_per_token * tokens).mul_f64(distance_factor * slowdown)
    }
}
