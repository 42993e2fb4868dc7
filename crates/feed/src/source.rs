//! The feed that an instance publishes to the others.

use {
    crate::{Batch, ServiceContact, SharedServiceLog},
    balance::TargetLoad,
    origins::{OriginKnowledge, OriginRecord, StreamKey},
    parts::{Change, ChangeLog, Position},
    relay::{RelayState, boot_time},
    std::{
        collections::HashSet,
        net::SocketAddr,
        sync::{Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::{sync::Notify, time::timeout},
};

/// What an instance publishes: what it has learned about the places that it follows, which are
/// stores and engines, and its calls in flight.
#[derive(Debug)]
pub struct Feed {
    /// The latest changes in the key-value service, for instances that follow it through this one.
    pub service_log: SharedServiceLog,
    relay_state: RelayState,
    state: Mutex<State>,
    changed: Notify,
    service_contact: Mutex<ServiceContact>,
}

#[derive(Debug)]
struct State {
    log: ChangeLog,
    followed_places: HashSet<SocketAddr>,
}

impl Feed {
    /// Creates a feed that publishes from `relay_state`, and applies each published change to it.
    #[must_use]
    pub fn new(relay_state: RelayState) -> Self {
        let state = State {
            log: ChangeLog::new(rand::random()),
            followed_places: HashSet::new(),
        };
        Self {
            service_log: SharedServiceLog::default(),
            relay_state,
            state: Mutex::new(state),
            changed: Notify::new(),
            service_contact: Mutex::default(),
        }
    }

    /// Starts to publish what is learned about `place`, of which nothing is known yet.
    pub fn follow(&self, place: SocketAddr) {
        self.lock_state().followed_places.insert(place);
        self.publish(Change::Cleared { place });
    }

    /// Stops publishing `place`. Instances that still read this feed for it learn that nothing more
    /// is known here.
    pub fn unfollow(&self, place: SocketAddr) {
        let mut state = self.lock_state();
        state.followed_places.remove(&place);
        state.log.push(Change::Cleared { place });
        drop(state);
        self.changed.notify_waiters();
    }

    /// Applies and publishes what this instance has learned about a place that it follows.
    pub fn publish(&self, change: Change) {
        let mut state = self.lock_state();
        self.relay_state.cache_index().apply(&change, boot_time());
        state.log.push(change);
        drop(state);
        self.changed.notify_waiters();
    }

    /// Returns what was learned since `since`, or the whole state if the changes since then are not
    /// known any more.
    #[must_use]
    pub fn read(&self, since: Option<Position>) -> Batch {
        let state = self.lock_state();
        let cache_index = self.relay_state.cache_index();
        let changes = since.and_then(|since| state.log.since(since));
        Batch {
            position: state.log.position(),
            clock: cache_index.clock(boot_time()),
            loads: self.in_flight_loads(),
            link_use: cache_index.link_use(),
            changes: changes.unwrap_or_else(|| cache_index.snapshot(&state.followed_places)),
        }
    }

    /// Keeps the origins of streams that another instance has begun, and returns what this one knows
    /// of the streams in `asked`.
    pub(crate) fn exchange_origins(
        &self,
        records: &[OriginRecord],
        asked: &[StreamKey],
    ) -> Vec<OriginKnowledge> {
        let stream_origins = &self.relay_state.stream_origins;
        for record in records {
            stream_origins.hold(record);
        }
        let known = asked.iter().map(|key| stream_origins.known(*key));
        known.collect()
    }

    /// Records that the key-value service was there at `at`, by [`boot_time`].
    pub fn record_service_contact(&self, at: Duration) {
        self.lock_service_contact().record(at);
    }

    /// Longest time without word from the key-value service in the last `within`.
    pub(crate) fn service_gap(&self, within: Duration) -> Duration {
        self.lock_service_contact().longest_gap(within, boot_time())
    }

    /// Reads like [`Self::read`], but waits up to `wait` for a change if there is none.
    pub(crate) async fn read_or_wait(&self, since: Option<Position>, wait: Duration) -> Batch {
        let change = self.changed.notified();
        let batch = self.read(since);
        if !batch.changes.is_empty() || timeout(wait, change).await.is_err() {
            return batch;
        }
        self.read(since)
    }

    /// Locks the state. The lock is held for a few steps only and never across an await point. It
    /// is always taken before the one of the cache index, so that the two cannot deadlock.
    fn lock_state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_service_contact(&self) -> MutexGuard<'_, ServiceContact> {
        let service_contact = self.service_contact.lock();
        service_contact.unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the calls in flight at each target that has any.
    fn in_flight_loads(&self) -> Vec<TargetLoad> {
        let view = self.relay_state.view();
        let targets = view.pools.values().flatten();
        let loads = targets.map(|target| (target.seed, target.call_stats.in_flight_count()));
        loads.filter(|(_, count)| *count > 0).collect()
    }
}
