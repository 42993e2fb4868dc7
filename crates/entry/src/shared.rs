//! State that the tasks of an instance share.

mod known_changes;

use {
    crate::{
        Aggregators, InstanceLease, KnownState, MemberRecord, Ownership, ReturnPace, Settings,
        caller_addresses::CallerAddress, counted_key_value::CountedKeyValue,
        known_incarnation::KnownIncarnation, link_use_reports::LinkUseReports,
        logged_evacuations::LoggedEvacuations, silences::Silences,
    },
    arc_swap::ArcSwap,
    balance::rendezvous,
    catalog::InstanceId,
    eventlog::{Event, EventLog},
    feed::{Feed, SourceReport},
    keyvalue::{Incarnation, KeyValue, KvError},
    meters::Meters,
    relay::{
        HeaderFormat, RelayState, TargetState, View, boot_time, record_report, update_cold_shares,
    },
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError, atomic::Ordering},
        time::Duration,
    },
    target::Reply,
    tokio::sync::Notify,
    tokio_util::sync::CancellationToken,
};

/// Delay per preceding instance before a task that only one instance has to do, so that the others
/// see it done.
pub(crate) const RANK_DELAY: Duration = Duration::from_millis(60);
/// Largest rank, which bounds that delay.
const MAX_RANK: u32 = 20;

/// State that the tasks of an instance share.
pub(crate) struct Shared<Kv, Format> {
    /// Settings of this instance.
    pub(crate) settings: Settings,
    /// Client of the key-value service.
    pub(crate) kv: CountedKeyValue<Kv>,
    /// Translation of the platform's formats.
    pub(crate) format: Format,
    /// Event log.
    pub(crate) log: EventLog,
    /// Metrics.
    pub(crate) meters: Meters,
    /// State that the request path reads.
    pub(crate) relay_state: RelayState,
    /// Addresses that callers are told to use.
    pub(crate) caller_addresses: ArcSwap<Vec<CallerAddress>>,
    /// What this instance has learned of stores and engines, served to the other instances.
    pub(crate) feed: Arc<Feed>,
    /// Assignment of stores and engines to the instances that follow them.
    pub(crate) ownership: ArcSwap<Ownership>,
    /// Instances that read for others, among the ready ones.
    pub(crate) aggregators: ArcSwap<Aggregators>,
    /// Notified whenever the known state has changed.
    pub(crate) changed: Notify,
    /// Notified when there is reason to doubt that this instance knows the service's latest state.
    pub(crate) doubted: Notify,
    /// Cancelled once this instance starts to drain.
    pub(crate) draining: CancellationToken,
    known: Mutex<KnownState>,
    lease: Mutex<Option<InstanceLease>>,
    incarnation: Mutex<KnownIncarnation>,
    /// Ready instances at the last change, in name order.
    ready: ArcSwap<Vec<(InstanceId, MemberRecord)>>,
    silences: Mutex<Silences>,
    /// Evacuations as last written to the event log.
    logged_evacuations: Mutex<LoggedEvacuations>,
}

impl<Kv, Format> Shared<Kv, Format>
where
    Kv: KeyValue,
{
    /// Creates the state of an instance that has not read anything from the service yet.
    pub(crate) fn new(settings: Settings, kv: Kv, format: Format, log: EventLog) -> Self {
        let relay_state = RelayState::default();
        let incarnation = KnownIncarnation::new(kv.incarnation());
        let meters = Meters::new();
        Self {
            settings,
            kv: CountedKeyValue::new(kv, meters.clone()),
            incarnation: Mutex::new(incarnation),
            format,
            log,
            feed: Arc::new(Feed::with_meters(relay_state.clone(), meters.clone())),
            meters,
            caller_addresses: ArcSwap::default(),
            relay_state,
            ownership: ArcSwap::default(),
            aggregators: ArcSwap::default(),
            changed: Notify::new(),
            doubted: Notify::new(),
            draining: CancellationToken::new(),
            known: Mutex::default(),
            lease: Mutex::default(),
            ready: ArcSwap::default(),
            silences: Mutex::default(),
            logged_evacuations: Mutex::default(),
        }
    }

    /// Waits until an incarnation other than `known` has begun.
    pub(crate) async fn restored(&self, known: Incarnation) -> KvError {
        let mut receiver = self.kv.incarnation();
        let changed = receiver.wait_for(|latest| !latest.is_same(&known)).await;
        let Ok(latest) = changed.map(|latest| *latest) else {
            return std::future::pending().await;
        };
        KvError::Restored {
            number: latest.number,
        }
    }
}

impl<Kv, Format> Shared<Kv, Format> {
    /// Locks the known state. Hold the guard briefly, never across an await.
    pub(crate) fn known(&self) -> MutexGuard<'_, KnownState> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that another instance responded at `now`, or that reading its feed started then.
    pub(crate) fn note_heard(&self, instance: &str, now: Duration) {
        self.silences().note_heard(instance, now);
    }

    /// Applies what the source `name` reported at `now` to what calls are placed by: its calls in flight,
    /// the engines' clock, and the use of the stores' links since `link_use`.
    pub(crate) fn apply_source_report(
        &self,
        name: &str,
        report: &SourceReport,
        clock: Option<Duration>,
        link_use: &mut LinkUseReports,
        now: Duration,
    ) {
        let mut peer_loads = self.relay_state.peer_loads();
        peer_loads.set(name, report.loads.clone(), report.instances_count, now);
        drop(peer_loads);
        let mut cache_index = self.relay_state.cache_index();
        if let Some(clock) = clock {
            cache_index.set_clock(clock, now);
        }
        link_use.apply(&report.link_use, &mut cache_index, now);
    }

    /// Removes what is stored about an instance that is gone or not read any more.
    pub(crate) fn forget_peer(&self, instance: &str) {
        self.silences().forget(instance);
        self.relay_state.peer_loads().remove(instance);
        self.feed.remove_source(instance);
    }

    /// Returns the time since another instance last responded, or since reading its feed started;
    /// zero if its feed is not read.
    pub(crate) fn silence(&self, instance: &str, now: Duration) -> Duration {
        self.silences().silence(instance, now)
    }

    /// For how long other instances have not answered. Hold the guard briefly, never across an await.
    pub(crate) fn silences(&self) -> MutexGuard<'_, Silences> {
        self.silences.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Ready instances in name order.
    pub(crate) fn ready_members(&self) -> Arc<Vec<(InstanceId, MemberRecord)>> {
        self.ready.load_full()
    }

    /// Whether there are enough ready instances that some read for others.
    pub(crate) fn has_aggregators(&self) -> bool {
        !self.aggregators.load().is_empty()
    }

    /// Returns this instance's lease, if it holds one of the present incarnation.
    pub(crate) fn lease(&self) -> Option<InstanceLease> {
        let current = self.incarnation();
        let lease = *self.lease.lock().unwrap_or_else(PoisonError::into_inner);
        lease.filter(|lease| lease.incarnation.is_same(&current))
    }

    /// Returns the incarnation of the service that this instance works in.
    pub(crate) fn incarnation(&self) -> Incarnation {
        self.known_incarnation().current()
    }

    /// Returns when this instance learned of the present incarnation; `None` while the service names
    /// none.
    pub(crate) fn incarnation_since(&self) -> Option<Duration> {
        self.known_incarnation().since()
    }

    /// Records that all items were read again in `incarnation`, without those that the copy lacks.
    pub(crate) fn note_read(&self, incarnation: Incarnation, count: usize, missing_count: usize) {
        let mut known = self.known_incarnation();
        if known.current().is_same(&incarnation)
            && let Some(event) = known.note_read(count, missing_count)
        {
            self.log.emit(&event);
        }
    }

    /// Records that this instance is registered in `incarnation`.
    pub(crate) fn note_registered(&self, incarnation: Incarnation) {
        let mut known = self.known_incarnation();
        if known.current().is_same(&incarnation)
            && let Some(event) = known.note_registered()
        {
            self.log.emit(&event);
        }
    }

    /// Returns the place of this instance among those that call the service one after the other.
    pub(crate) fn return_pace(&self) -> ReturnPace {
        let known = self.known();
        let ready = known.ready_members();
        let own = &self.settings.instance;
        let before_count = ready.iter().filter(|(name, _)| *name < own).count();
        let to_u32 = |count| u32::try_from(count).unwrap_or(u32::MAX);
        ReturnPace {
            rank: to_u32(before_count),
            instances_count: to_u32(ready.len()),
        }
    }

    fn known_incarnation(&self) -> MutexGuard<'_, KnownIncarnation> {
        let lease = *self.lease.lock().unwrap_or_else(PoisonError::into_inner);
        let mut known = self
            .incarnation
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if known.update(lease.is_some()) {
            self.meters.count("restores", "noticed");
            if known.current().fall.is_some() {
                self.meters.count("restores", "unnamed");
            }
        }
        known
    }

    /// Replaces this instance's lease; `None` if it holds none any more.
    pub(crate) fn set_lease(&self, lease: Option<InstanceLease>) {
        *self.lease.lock().unwrap_or_else(PoisonError::into_inner) = lease;
    }

    /// Publishes the known state to the request path and notifies the other tasks.
    pub(crate) fn publish(&self) {
        let known = self.known();
        self.update_ready_instances(&known);
        self.report_evacuations(&known);
        let now = boot_time();
        let mut view = known.view(now);
        let before = self.relay_state.view();
        if has_same_grants(&before, &view) {
            view.instances_since = before.instances_since;
        }
        if let Some(allowance) = self.settings.cold_allowance {
            update_cold_shares(&view, allowance, self.instance_seed(), now);
        }
        let view = Arc::new(view);
        self.relay_state.stream_origins.observe(&view, now);
        self.relay_state.view.store(view);
        let instances_count = known.ready_members().len();
        self.meters.gauge("targets", known.targets().count() as u64);
        self.meters.gauge("instances", instances_count as u64);
        let held = self.relay_state.held_bytes_count.load(Ordering::Relaxed);
        self.meters.gauge("held_bytes", held as u64);
        self.publish_addresses(&known);
        drop(known);
        self.changed.notify_waiters();
    }

    /// Publishes the addresses that callers are told to use: those of the ready instances, and this
    /// one's own as soon as it serves calls, or if there are no others.
    fn publish_addresses(&self, known: &KnownState) {
        let members = known.ready_members().into_iter();
        let mut addresses: Vec<CallerAddress> = members.map(|(_, record)| record.into()).collect();
        let own = CallerAddress {
            address: self.settings.listen,
            failure_domain: self.settings.failure_domain.clone(),
        };
        let serves = known.table().is_some() && !self.draining.is_cancelled();
        let has_own = addresses.iter().any(|it| it.address == own.address);
        if serves && !has_own || addresses.is_empty() {
            addresses.push(own);
        }
        self.caller_addresses.store(Arc::new(addresses));
    }

    /// Selects the aggregators and logs the ready instances, if these have changed.
    fn update_ready_instances(&self, known: &KnownState) {
        let members = known.ready_members();
        let before = self.ready.load();
        let known_before = before.iter().map(|(name, record)| (name, record));
        if known_before.eq(members.iter().copied()) {
            return;
        }
        let aggregators = Aggregators::select(members.iter().copied());
        self.aggregators.store(Arc::new(aggregators));
        let names_changed = !before
            .iter()
            .map(|(name, _)| name)
            .eq(members.iter().map(|it| it.0));
        let ready = members.iter();
        let ready: Vec<_> = ready
            .map(|(name, record)| ((*name).clone(), (*record).clone()))
            .collect();
        if names_changed {
            self.log.emit(&Event::Instances {
                ready: ready.iter().map(|(name, _)| name.clone()).collect(),
            });
        }
        self.ready.store(Arc::new(ready));
    }

    /// Logs the evacuations that have begun or ended, and counts those in force.
    fn report_evacuations(&self, known: &KnownState) {
        let mut logged = self
            .logged_evacuations
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let report = logged.update(known);
        for event in &report.events {
            self.log.emit(event);
        }
        let domains_count = known.evacuated_domains().count();
        self.meters.gauge("evacuated_domains", domains_count as u64);
        let targets_count = report.targets_count;
        self.meters.gauge("evacuated_targets", targets_count as u64);
    }

    /// Feed addresses of the other ready instances.
    pub(crate) fn other_feeds(&self) -> BTreeMap<InstanceId, SocketAddr> {
        let mut feeds = self.known().feed_addresses();
        feeds.remove(&self.settings.instance);
        feeds
    }

    /// Rendezvous seed of the name of this instance.
    pub(crate) fn instance_seed(&self) -> u64 {
        rendezvous::member_seed(&self.settings.instance)
    }

    /// Returns how many ready instances precede this one in name order, at most [`MAX_RANK`].
    pub(crate) fn rank(&self) -> u32 {
        let known = self.known();
        let own = &self.settings.instance;
        let members = known.ready_members().into_iter();
        let before = members.filter(|(name, _)| *name < own);
        u32::try_from(before.count()).map_or(MAX_RANK, |rank| rank.min(MAX_RANK))
    }

    /// Whether another instance is ready while this one drains.
    pub(crate) fn has_ready_peer(&self) -> bool {
        let shutdown = self.relay_state.view().shutdown;
        shutdown.is_some_and(|shutdown| shutdown.back_at.is_none())
    }

    /// Waits until another instance is ready while this one drains.
    pub(crate) async fn wait_for_ready_peer(&self) {
        loop {
            let changed = self.changed.notified();
            if self.has_ready_peer() {
                return;
            }
            changed.await;
        }
    }

    /// Whether this instance accepts calls: it has a configuration and does not drain.
    pub(crate) fn is_ready(&self) -> bool {
        !self.draining.is_cancelled() && self.relay_state.view().route_table.is_some()
    }

    /// Counts and logs that a dependency of this instance became unavailable or available again.
    pub(crate) fn report_dependency(&self, name: &'static str, available: bool, reason: String) {
        let kind = if available { "back" } else { "lost" };
        self.meters.count("dependencies", kind);
        self.log.emit(&Event::Dependency {
            name,
            available,
            reason,
        });
    }
}

impl<Kv, Format> Shared<Kv, Format>
where
    Format: HeaderFormat,
{
    /// Records what a target states of itself in an answer that is no answer to a call.
    pub(crate) fn record_report(&self, target: &TargetState, reply: &Reply) {
        let metadata = self.format.parse_reply(reply.headers());
        let names_other = metadata.target.is_some_and(|id| id != target.id);
        if !names_other {
            let statements = &metadata.statements;
            record_report(target, reply.status(), statements, &self.log, &self.meters);
        }
    }
}

/// Whether two views divide what is granted to all instances in the same way.
fn has_same_grants(before: &View, after: &View) -> bool {
    before.instance_seeds == after.instance_seeds
        && before.configuration_version() == after.configuration_version()
}
