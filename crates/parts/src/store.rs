//! A store as one instance sees it.

use {
    crate::{PartKey, slowdown::Slowdown},
    balance::rendezvous,
    std::{collections::HashSet, net::SocketAddr, time::Duration},
};

/// A store as one instance sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct Store {
    /// Address of the store.
    pub address: SocketAddr,
    /// Failure domain of the store.
    pub failure_domain: String,
    /// Capacity in tokens.
    pub capacity_tokens: u64,
    /// Transfer time for one token, to or from an engine in the same failure domain.
    pub time_per_token: Duration,
    /// Fixed time that each transfer takes in addition.
    pub setup_time: Duration,
    /// Tokens that the store holds, as far as its reports show.
    pub held_tokens: u64,
    /// Whether the store answers.
    pub available: bool,
    /// Time at which what is known of the store was last requested from the instance that follows
    /// it, and then received; `None` before that.
    pub(crate) reported_at: Option<Duration>,
    /// Seed for rendezvous hashing, derived from the address.
    pub(crate) seed: u64,
    /// Estimated time at which the link has finished all planned transfers.
    pub(crate) link_free_at: Duration,
    /// Slowdown of the store's transfers, as observed lately.
    pub(crate) slowdown: Slowdown,
    /// When the store stopped answering, if it has not answered since.
    pub(crate) unavailable_since: Option<Duration>,
    /// What the store held when all that was known of it was dropped.
    pub(crate) dropped: Option<DroppedContent>,
}

/// What a store held when all that was known of it was dropped, because it has restarted or is read
/// anew. Other instances may go on believing for a while that it holds these parts. An engine that
/// fetched one of them by that belief, while another engine saves it again, would read it unfinished.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct DroppedContent {
    /// Parts that it held.
    parts: HashSet<PartKey>,
    /// Until when others may know of parts that this instance has not heard of.
    unheard_until: Duration,
    /// Until when others may believe that the store holds the parts.
    believed_until: Duration,
}

impl Store {
    /// Creates an empty store whose transfers take no time.
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
            reported_at: None,
            link_free_at: Duration::ZERO,
            slowdown: Slowdown::default(),
            unavailable_since: None,
            dropped: None,
        }
    }

    /// Drops what is known of the store's content at `now`: `parts`.
    pub(crate) fn drop_content(&mut self, parts: HashSet<PartKey>, now: Duration) {
        self.held_tokens = 0;
        if parts.is_empty() {
            return;
        }
        // Nobody has had a report of the earlier content since the store stopped answering.
        let last_report_at = self.unavailable_since.unwrap_or(now);
        let mut dropped = self.dropped.take().unwrap_or_default();
        if dropped.believed_until <= now {
            dropped.parts.clear();
        }
        dropped.parts.extend(parts);
        dropped.unheard_until = last_report_at + REPORT_LAG;
        dropped.believed_until = last_report_at + OLD_REPORT_LIFETIME;
        self.dropped = Some(dropped);
    }

    /// Whether a part may be saved to the store: not while another instance may believe that the
    /// store holds it from before a restart.
    pub(crate) fn takes_save_of(&self, part: PartKey, now: Duration) -> bool {
        self.dropped.as_ref().is_none_or(|dropped| {
            let is_believed = dropped.parts.contains(&part) && now < dropped.believed_until;
            now >= dropped.unheard_until && !is_believed
        })
    }

    /// Records whether the store answers.
    pub(crate) fn set_available(&mut self, available: bool, now: Duration) {
        self.available = available;
        self.unavailable_since = if available {
            None
        } else {
            self.unavailable_since.or(Some(now))
        };
    }

    /// Free share of the capacity, from 0 to 1.
    #[must_use]
    pub fn free_share(&self) -> f64 {
        #[allow(clippy::cast_precision_loss)]
        let used_share = self.held_tokens as f64 / self.capacity_tokens.max(1) as f64;
        (1.0 - used_share).max(0.0)
    }

    /// Whether the store answers, and what is known of it is recent enough to act on.
    pub(crate) fn is_usable(&self, now: Duration) -> bool {
        let report_age = self.reported_at.map(|at| now.saturating_sub(at));
        self.available && report_age.is_some_and(|age| age <= MAX_REPORT_AGE)
    }

    /// Adds `time` to the time for which the link is in use.
    pub(crate) fn reserve_link(&mut self, time: Duration, now: Duration) {
        self.link_free_at = self.link_free_at.max(now) + time;
    }

    /// Weight of this store in rendezvous hashing for a part that an engine in `failure_domain`
    /// saves. It is proportional to the free capacity, and higher for stores in the engine's
    /// failure domain.
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

    /// Time that one transfer from or to `failure_domain` takes, without the wait for the link.
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

/// Age up to which a report of a store's parts is acted on. Whoever frees parts of a store withdraws
/// them from its reports, and waits for at least this long before it frees them.
///
/// With 320 instances, two reads of the same instance's reports are up to 4.9 s apart.
pub const MAX_REPORT_AGE: Duration = Duration::from_secs(5);
/// Longest time from the choice of a target until its fetches are complete or given up.
pub const MAX_FETCH_TIME: Duration = Duration::from_secs(2);
/// Time allowed for differences between the clocks of instances, engines and stores.
const CLOCK_MARGIN: Duration = Duration::from_secs(1);
/// Time after a change at a store from which on nobody acts on a report from before it, and no fetch that
/// was planned by such a report runs any more.
pub const OLD_REPORT_LIFETIME: Duration = MAX_REPORT_AGE
    .saturating_add(MAX_FETCH_TIME)
    .saturating_add(CLOCK_MARGIN);
/// Time after which all instances that can be reached have heard of a part, in most fleets.
const REPORT_LAG: Duration = Duration::from_secs(2);
/// Factor on the transfer time per token between different failure domains.
const REMOTE_FACTOR: f64 = 2.0;
/// Factor on the weight of a store in the engine's own failure domain.
const LOCAL_WEIGHT: f64 = 4.0;
