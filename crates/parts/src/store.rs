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
    pub(crate) held_tokens: u64,
    /// Whether the store answers.
    pub(crate) available: bool,
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

impl DroppedContent {
    /// Whether another instance may believe at `now` that the store holds the part.
    pub(crate) fn may_be_believed(&self, part: PartKey, now: Duration) -> bool {
        let is_believed = self.parts.contains(&part) && now < self.believed_until;
        now < self.unheard_until || is_believed
    }
}

impl Store {
    /// Creates an empty store that answers and whose transfers take no time.
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

    /// Has the store not answer until it is known to.
    #[must_use]
    pub fn unavailable(mut self) -> Self {
        self.available = false;
        self
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

    /// Records whether the store answers.
    pub(crate) fn set_available(&mut self, available: bool, now: Duration) {
        self.available = available;
        self.unavailable_since = if available {
            None
        } else {
            self.unavailable_since.or(Some(now))
        };
    }

    /// Adds `time` to the time for which the link is in use.
    pub(crate) fn reserve_link(&mut self, time: Duration, now: Duration) {
        self.link_free_at = self.link_free_at.max(now) + time;
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
