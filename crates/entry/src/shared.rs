//! What the tasks of an instance share.

use {
    crate::{Known, Ownership, Settings, Tenure},
    arc_swap::ArcSwap,
    catalog::InstanceId,
    eventlog::{Event, EventLog},
    feed::Feed,
    meters::Meters,
    relay::{RelayState, boot_time},
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::sync::Notify,
    tokio_util::sync::CancellationToken,
};

/// Wait before this instance does what one of all has to do, for each instance before it.
pub(crate) const RANK_PAUSE: Duration = Duration::from_millis(60);
/// Longest such wait, in pauses.
const MAX_RANK: u32 = 20;

/// What the tasks of an instance share.
pub(crate) struct Shared<Kv, Format> {
    /// Settings.
    pub(crate) settings: Settings,
    /// The key-value service.
    pub(crate) kv: Kv,
    /// Translation of the platform's formats.
    pub(crate) format: Format,
    /// The log.
    pub(crate) log: EventLog,
    /// Counters and times.
    pub(crate) meters: Meters,
    /// What calls are decided by.
    pub(crate) followed: RelayState,
    /// Addresses that callers are told of.
    pub(crate) addresses: ArcSwap<Vec<SocketAddr>>,
    /// What this instance has learned of stores and engines, for the others to read.
    pub(crate) feed: Arc<Feed>,
    /// Which instance follows which store or engine.
    pub(crate) ownership: ArcSwap<Ownership>,
    /// Told whenever what is known has changed.
    pub(crate) changed: Notify,
    /// Cancelled once this instance leads callers elsewhere.
    pub(crate) draining: CancellationToken,
    known: Mutex<Known>,
    tenure: Mutex<Option<Tenure>>,
    /// Instances that the log last named as taking callers.
    said: Mutex<Vec<InstanceId>>,
    /// When other instances were last heard of.
    heard: Mutex<HashMap<InstanceId, Duration>>,
}

impl<Kv, Format> Shared<Kv, Format> {
    /// Knows nothing yet.
    pub(crate) fn new(settings: Settings, kv: Kv, format: Format, log: EventLog) -> Self {
        let followed = RelayState::default();
        Self {
            settings,
            kv,
            format,
            log,
            meters: Meters::new(),
            addresses: ArcSwap::default(),
            feed: Arc::new(Feed::new(followed.clone())),
            followed,
            ownership: ArcSwap::default(),
            changed: Notify::new(),
            draining: CancellationToken::new(),
            known: Mutex::default(),
            tenure: Mutex::default(),
            said: Mutex::default(),
            heard: Mutex::default(),
        }
    }

    /// What is known. Held for a few steps only, never across a wait.
    pub(crate) fn known(&self) -> MutexGuard<'_, Known> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes that another instance was heard of at `now`.
    pub(crate) fn heard(&self, instance: &str, now: Duration) {
        self.heard_times().insert(instance.to_owned(), now);
    }

    /// Forgets an instance that is gone.
    pub(crate) fn forget_peer(&self, instance: &str) {
        self.heard_times().remove(instance);
        self.followed.peer_loads().remove(instance);
    }

    /// Time since an instance was last heard of; zero for one that was not asked yet.
    pub(crate) fn silence(&self, instance: &str, now: Duration) -> Duration {
        let heard = self.heard_times().get(instance).copied();
        now.saturating_sub(heard.unwrap_or(now))
    }

    fn heard_times(&self) -> MutexGuard<'_, HashMap<InstanceId, Duration>> {
        self.heard.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The lease of this instance.
    pub(crate) fn tenure(&self) -> Option<Tenure> {
        *self.tenure.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the lease of this instance.
    pub(crate) fn set_tenure(&self, tenure: Option<Tenure>) {
        *self.tenure.lock().unwrap_or_else(PoisonError::into_inner) = tenure;
    }

    /// Has calls decided by what is known now.
    pub(crate) fn publish(&self) {
        let known = self.known();
        self.say_instances(&known);
        self.followed.view.store(Arc::new(known.view(boot_time())));
        let mut addresses: Vec<SocketAddr> = known
            .ready_members()
            .into_iter()
            .map(|(_, record)| record.address)
            .collect();
        self.meters.gauge("targets", known.targets().count() as u64);
        self.meters.gauge("instances", addresses.len() as u64);
        let own = self.settings.listen;
        let serves = known.table().is_some() && !self.draining.is_cancelled();
        if serves && !addresses.contains(&own) || addresses.is_empty() {
            addresses.push(own);
        }
        self.addresses.store(Arc::new(addresses));
        drop(known);
        self.changed.notify_waiters();
    }

    /// Says which instances take callers, if those are others than before.
    fn say_instances(&self, known: &Known) {
        let members = known.ready_members();
        let ready = members.iter().map(|(name, _)| *name);
        let mut said = self.said.lock().unwrap_or_else(PoisonError::into_inner);
        if said.iter().eq(ready.clone()) {
            return;
        }
        *said = ready.cloned().collect();
        self.log.emit(&Event::Instances {
            ready: said.clone(),
        });
    }

    /// Ready instances before this one in the order of names.
    pub(crate) fn rank(&self) -> u32 {
        let known = self.known();
        let own = &self.settings.instance;
        let members = known.ready_members().into_iter();
        let before = members.filter(|(name, _)| *name < own);
        u32::try_from(before.count()).map_or(MAX_RANK, |rank| rank.min(MAX_RANK))
    }

    /// Whether, while this instance leaves, another one takes callers.
    pub(crate) fn has_others(&self) -> bool {
        let leaving = self.followed.view().shutdown;
        leaving.is_some_and(|leaving| leaving.back_at.is_none())
    }

    /// Waits until another instance takes callers while this one leaves.
    pub(crate) async fn others_take_callers(&self) {
        loop {
            let changed = self.changed.notified();
            if self.has_others() {
                return;
            }
            changed.await;
        }
    }

    /// Whether this instance takes callers.
    pub(crate) fn is_ready(&self) -> bool {
        !self.draining.is_cancelled() && self.followed.view().route_table.is_some()
    }

    /// Says that something this instance depends on was lost or is back.
    pub(crate) fn dependency(&self, name: &'static str, available: bool, reason: String) {
        let kind = if available { "back" } else { "lost" };
        self.meters.count("dependencies", kind);
        self.log.emit(&Event::Dependency {
            name,
            available,
            reason,
        });
    }
}
