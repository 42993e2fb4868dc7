//! The feed that an instance publishes to the others.

use {
    crate::{
        Batch, MergedBatch, MergedRequest, PlaceReport, PlacesRequest, Scope, ServiceContact,
        SharedServiceLog, SourceReport, feed_state::FeedState,
    },
    balance::TargetLoad,
    meters::Meters,
    origins::{OriginKnowledge, OriginRecord, StreamKey},
    parts::{Change, Position},
    relay::{RelayState, boot_time},
    std::{
        collections::HashSet,
        net::SocketAddr,
        sync::{Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::{sync::Notify, time::timeout},
};

/// Time after which an instance that has become an aggregator answers readers. Until then it has read
/// few instances, and another aggregator answers better.
const WARM_UP_TIME: Duration = Duration::from_millis(400);
/// Counter of the bytes of batches, by direction.
const NEWS_BYTES: &str = "news_bytes";
/// Counter of answered reads, by the kind of feed.
const NEWS_READS: &str = "news_reads";

/// What an instance publishes: what it has learned about the places that it follows, which are
/// stores and engines, and its calls in flight. An aggregator also publishes what it has read in
/// other instances' feeds.
#[derive(Debug)]
pub struct Feed {
    /// The latest changes in the key-value service, for instances that follow it through this one.
    pub service_log: SharedServiceLog,
    relay_state: RelayState,
    state: Mutex<FeedState>,
    changed: Notify,
    service_contact: Mutex<ServiceContact>,
    meters: Meters,
}

impl Feed {
    /// Creates a feed that publishes from `relay_state`, and applies each published change to it.
    #[must_use]
    pub fn new(relay_state: RelayState) -> Self {
        Self::with_meters(relay_state, Meters::new())
    }

    /// Creates a feed as [`Feed::new`] does, which counts what is served and read.
    #[must_use]
    pub fn with_meters(relay_state: RelayState, meters: Meters) -> Self {
        Self {
            meters,
            service_log: SharedServiceLog::default(),
            relay_state,
            state: Mutex::new(FeedState::new(rand::random())),
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
        state.push_own(Change::Cleared { place });
        drop(state);
        self.changed.notify_waiters();
    }

    /// Returns the places that this instance follows.
    #[must_use]
    pub fn followed_places(&self) -> HashSet<SocketAddr> {
        self.lock_state().followed_places.clone()
    }

    /// Applies and publishes what this instance has learned about a place that it follows.
    pub fn publish(&self, change: Change) {
        let mut state = self.lock_state();
        self.relay_state.cache_index().apply(&change, boot_time());
        state.push_own(change);
        drop(state);
        self.changed.notify_waiters();
    }

    /// Applies what another instance's feed says of places. An aggregator publishes it as well.
    pub fn apply(&self, report: PlaceReport, now: Duration) {
        let mut state = self.lock_state();
        let mut cache_index = self.relay_state.cache_index();
        for change in report.changes {
            let place = change.place();
            if report.keeps_followed && state.followed_places.contains(&place) {
                continue;
            }
            cache_index.apply(&change, now);
            state.set_place_scope(place, report.scope);
            state.push_read(report.scope, change);
        }
        let is_kept = |state: &FeedState, place: &SocketAddr| {
            report.keeps_followed && state.followed_places.contains(place)
        };
        for (place, reported_at) in report.replaced_times {
            if !is_kept(&state, &place) {
                state.set_place_scope(place, report.scope);
                cache_index.replace_reported(place, reported_at);
            }
        }
        for (place, reported_at) in report.reported_times {
            if !is_kept(&state, &place) {
                state.set_place_scope(place, report.scope);
                cache_index.set_reported(place, reported_at);
            }
        }
    }

    /// Becomes an aggregator, which publishes what it reads in other instances' feeds.
    pub fn begin_aggregation(&self, now: Duration) {
        self.lock_state().begin_aggregation(now);
    }

    /// Is no aggregator any more.
    pub fn end_aggregation(&self) {
        self.lock_state().aggregation = None;
    }

    /// Begins to read a source as an aggregator, as [`crate::MergedReports::add_source`] says.
    pub fn add_source(&self, name: &str, scope: Scope, now: Duration) {
        if let Some(aggregation) = &mut self.lock_state().aggregation {
            aggregation.reports.add_source(name, scope, now);
        }
    }

    /// Removes a source that is no longer read.
    pub fn remove_source(&self, name: &str) {
        if let Some(aggregation) = &mut self.lock_state().aggregation {
            aggregation.reports.remove_source(name);
        }
    }

    /// Replaces what a source in `scope` reported by its answer at `now`.
    pub fn set_source(&self, name: &str, scope: Scope, report: SourceReport, now: Duration) {
        if let Some(aggregation) = &mut self.lock_state().aggregation {
            aggregation.reports.set(name, scope, report, now);
        }
    }

    /// Records that a source doesn't answer.
    pub fn set_source_unread(&self, name: &str) {
        if let Some(aggregation) = &mut self.lock_state().aggregation {
            aggregation.reports.set_unread(name);
        }
    }

    /// Returns what was learned since `since`, or the whole state if the changes since then are not
    /// known any more.
    #[must_use]
    pub fn read(&self, since: Option<Position>) -> Batch {
        let state = self.lock_state();
        let cache_index = self.relay_state.cache_index();
        Batch {
            position: state.position(),
            clock: cache_index.clock(boot_time()),
            loads: self.in_flight_loads(),
            link_use: cache_index.link_use(),
            changes: state.own_changes(since, &cache_index),
            is_reset: false,
            followed_places: Vec::new(),
        }
    }

    /// Returns what was learned of the requested places.
    #[must_use]
    pub fn read_places(&self, request: &PlacesRequest) -> Batch {
        let state = self.lock_state();
        let cache_index = self.relay_state.cache_index();
        let places = request.places.iter().copied();
        let wanted = state.place_changes(request, &cache_index);
        Batch {
            position: state.position(),
            clock: cache_index.clock(boot_time()),
            loads: self.in_flight_loads(),
            link_use: cache_index.link_use(),
            changes: wanted.changes,
            is_reset: wanted.is_reset,
            followed_places: places
                .filter(|place| state.followed_places.contains(place))
                .collect(),
        }
    }

    /// Returns what is known of all instances in the requested scope; `None` if this instance is no
    /// aggregator, or has been one only for a moment.
    #[must_use]
    pub fn read_merged(&self, request: &MergedRequest, now: Duration) -> Option<MergedBatch> {
        let state = self.lock_state();
        let aggregation = state.aggregation.as_ref()?;
        if now < aggregation.since + WARM_UP_TIME {
            return None;
        }
        let (reader, scope) = (request.reader.as_str(), request.scope);
        let reports = &aggregation.reports;
        let (loads, instances_count) = reports.loads(reader, scope, &self.in_flight_loads());
        let cache_index = self.relay_state.cache_index();
        let wanted = state.merged_changes(request, aggregation, &cache_index);
        Some(MergedBatch {
            position: state.position(),
            clock: cache_index.clock(now),
            loads,
            instances_count,
            link_use: reports.link_use(reader, scope, &cache_index.link_use()),
            changes: wanted.changes,
            is_reset: wanted.is_reset,
            report_ages: state.report_ages(aggregation, scope, &cache_index, now),
            silent_instances: reports.silent_instances(scope, now),
        })
    }

    /// Counts a batch that this instance has read in the feed of another one.
    pub fn count_read(&self, batch: &Batch) {
        self.meters.count(NEWS_READS, "instance");
        self.count_bytes("read", batch.encoded_bytes());
    }

    /// Counts a batch that this instance has read in the merged feed of an aggregator.
    pub fn count_merged_read(&self, batch: &MergedBatch) {
        self.meters.count(NEWS_READS, "merged");
        self.count_bytes("read", batch.encoded_bytes());
    }

    /// Counts the bytes of a batch that another instance has read here.
    pub(crate) fn count_served(&self, bytes: usize) {
        self.count_bytes("served", bytes);
    }

    fn count_bytes(&self, kind: &str, bytes: usize) {
        self.meters.count_many(NEWS_BYTES, kind, bytes as u64);
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

    /// Reads like [`Self::read_places`], but waits up to `wait` for a change if there is none.
    pub(crate) async fn read_places_or_wait(
        &self,
        request: &PlacesRequest,
        wait: Duration,
    ) -> Batch {
        let change = self.changed.notified();
        let batch = self.read_places(request);
        let is_new = !batch.changes.is_empty() || request.since != Some(batch.position);
        if is_new || wait.is_zero() || timeout(wait, change).await.is_err() {
            return batch;
        }
        self.read_places(request)
    }

    /// Locks the state. The lock is held for a few steps only and never across an await point. It
    /// is always taken before the one of the cache index, so that the two cannot deadlock.
    fn lock_state(&self) -> MutexGuard<'_, FeedState> {
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
        let loads = targets.map(|target| TargetLoad {
            target_seed: target.seed,
            calls_count: target.call_stats.in_flight_count(),
            tokens_count: target.call_stats.in_flight_tokens_count(),
            unread_tokens_count: target.call_stats.unread_tokens_count(),
        });
        loads.filter(|load| load.calls_count > 0).collect()
    }
}
