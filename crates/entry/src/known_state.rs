//! The instance's copy of the shared state, and how changes of the key-value service affect it.

mod outages;

pub(crate) use outages::MIN_LAPSE_TIME;

use {
    self::outages::Outage,
    crate::{
        AnnouncedLimit, HolderRecord, Item, ItemName, KnownFencing, LoadingRecord, MemberRecord,
        RecentVersion,
        known_targets::{KnownTargets, Writing},
    },
    balance::rendezvous,
    catalog::{FailureDomainId, InstanceId, ModelId, Revision},
    keyvalue::Incarnation,
    quarantine::{Quarantine, SuspectKey},
    relay::{Peer, Shutdown, TargetState, View, WantedVersions},
    routes::{RouteConfig, RouteTable},
    std::{
        collections::{BTreeMap, HashMap},
        net::SocketAddr,
        sync::Arc,
        time::Duration,
    },
};

/// A known entry instance.
#[derive(Clone, Debug)]
struct KnownMember {
    record: MemberRecord,
    /// Rendezvous seed of its name.
    seed: u64,
    expires_at: Option<Duration>,
    /// When this instance learned that it is not ready any more.
    unready_since: Option<Duration>,
}

/// The shutdown of this instance. Times are by the clock of [`KnownState`].
#[derive(Clone, Debug)]
pub struct OwnShutdown {
    /// Name of this instance.
    pub instance: InstanceId,
    /// When the instance began to drain.
    pub started_at: Duration,
    /// Time from then until the platform kills the process.
    pub grace_period: Duration,
    /// Time by which callers are assumed to have refreshed their address lists, so that they know
    /// the other instances.
    pub announced_at: Duration,
    /// Time by which every response must be complete.
    pub answer_deadline: Duration,
}

/// The holder of the order lock, as stored in the service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KnownHolder {
    /// The record that the holder wrote.
    pub record: HolderRecord,
    /// Revision at which the lock was acquired.
    pub revision: Revision,
}

/// If the last confirmation is older than this, a change may have been made long before this
/// instance learns of it. Longer than a watch request waits for changes.
const MAX_CONFIRMATION_AGE: Duration = Duration::from_millis(2_500);

/// Time from the exit of an instance until it has restarted and is ready.
const RESTART_TIME: Duration = Duration::from_millis(500);

/// The instance's copy of the shared state. Items change only by [`KnownState::put`],
/// [`KnownState::delete`] and [`KnownState::expire`]; an older configuration or version never
/// replaces a newer one. All times are by a clock that keeps running during suspension.
#[derive(Clone, Debug, Default)]
pub struct KnownState {
    table: Option<Arc<RouteTable>>,
    wanted: HashMap<ModelId, WantedVersions>,
    targets: KnownTargets,
    members: BTreeMap<InstanceId, KnownMember>,
    holder: Option<KnownHolder>,
    fencing: KnownFencing,
    /// Targets that are loading new weights.
    loading: Option<LoadingRecord>,
    /// The last outage of the service, while registrations of targets that it let expire may be written
    /// again.
    outage: Option<Outage>,
    /// Incarnation of the service that everything was last read in.
    incarnation: Incarnation,
    /// Until then, registrations may be those of an older copy of the service, or lacking in it.
    restored_until: Option<Duration>,
    /// Until then, instances that could not reach the service either may register again.
    members_return_until: Option<Duration>,
    confirmed_at: Option<Duration>,
    /// Whether changes received since `confirmed_at` may have been delayed by a suspension of this
    /// process.
    was_suspended: bool,
    own_shutdown: Option<OwnShutdown>,
    /// Prompt parts and calls that may crash targets.
    quarantine: Arc<Quarantine>,
    /// Evacuated failure domains, and when the evacuation counts as ended since an older copy of the
    /// service lacks it.
    evacuations: BTreeMap<FailureDomainId, Option<Duration>>,
}

impl KnownState {
    /// Applies an item that was written at `revision`. `id` is the id from its [`ItemName`], empty
    /// if that has none.
    pub fn put(&mut self, id: &str, item: Item, revision: Revision, now: Duration) {
        match item {
            Item::Configuration(config) => {
                let newest = self.table.as_ref().map(|table| table.config().version);
                if newest.is_none_or(|newest| newest < config.version) {
                    self.table = Some(Arc::new(RouteTable::new(*config)));
                }
            }
            Item::Version(version) => {
                let since = self.earliest_change_time(now);
                let wanted = self.wanted.entry(id.to_owned()).or_default();
                wanted.add(version, since, now);
            }
            Item::Recent(record) => self.mark_recent(id, &record, now),
            Item::Target(record) => {
                let writing = Writing {
                    revision,
                    after: self.confirmed_at,
                };
                match self.restored_until.filter(|until| now < *until) {
                    Some(until) => self.targets.put_restored(id, record, writing, until, now),
                    None => self.targets.put(id, record, writing, now),
                }
            }
            Item::Limit(record) => self.targets.put_limit(id, record.limit_per_s, now),
            Item::Member(record) => {
                self.put_member(id, record, now);
            }
            Item::Loading(record) => {
                self.note_loaded(&record);
                self.loading = Some(record);
            }
            Item::Fencing(record) => {
                self.fencing.put(&record, revision);
            }
            Item::Holder(record) => {
                self.fencing.note(record.fencing, &record.instance);
                self.holder = Some(KnownHolder { record, revision });
            }
            Item::Crash {
                suspect,
                crash,
                record,
            } => {
                self.add_crash(suspect, &record.label, &crash);
                self.set_suspect_written(suspect, now);
            }
            Item::Answered(suspect) => {
                Arc::make_mut(&mut self.quarantine).set_answered(suspect, true);
            }
            Item::Evacuation => {
                self.evacuations.insert(id.to_owned(), None);
            }
        }
    }

    /// Applies the deletion of an item. After an outage, instances and targets stay for a while,
    /// since they may register again; targets that were draining are removed at once.
    pub fn delete(&mut self, name: &ItemName, now: Duration) {
        let expires_at = match name {
            ItemName::Member(_) => self.members_return_until.filter(|until| now < *until),
            _ => self.outage.and_then(|outage| outage.record_expiry(now)),
        };
        self.delete_at(name, expires_at, now);
    }

    /// Applies that an item was replaced by something that is none, so its owner is gone.
    pub fn remove(&mut self, name: &ItemName, now: Duration) {
        self.delete_at(name, None, now);
    }

    /// Applies the deletion of an item. With `expires_at`, instances and targets stay until then.
    fn delete_at(&mut self, name: &ItemName, expires_at: Option<Duration>, now: Duration) {
        match name {
            ItemName::Target(id) => self.targets.delete(id, expires_at, now),
            ItemName::Member(id) => match (expires_at, self.members.get_mut(id)) {
                (Some(_), Some(member)) => member.expires_at = expires_at,
                _ => drop(self.members.remove(id)),
            },
            ItemName::Holder => self.holder = None,
            ItemName::Fencing => self.fencing.delete(),
            ItemName::Loading => self.loading = None,
            ItemName::Recent(model, version) => {
                if let Some(wanted) = self.wanted.get_mut(model) {
                    wanted.unmark_recent(*version);
                }
            }
            ItemName::Crash(suspect, crash) => {
                Arc::make_mut(&mut self.quarantine).remove_crash(*suspect, crash);
            }
            ItemName::Limit(id) => self.targets.delete_limit(id, now),
            ItemName::Answered(suspect) => {
                Arc::make_mut(&mut self.quarantine).set_answered(*suspect, false);
            }
            ItemName::Evacuation(domain) => {
                self.evacuations.remove(domain);
            }
            // The last accepted configuration and versions stay in force.
            ItemName::Configuration | ItemName::Version(_) => {}
        }
    }

    /// Records that a version of `model` is marked as recently requested by the operators.
    pub fn mark_recent(&mut self, model: &str, record: &RecentVersion, now: Duration) {
        let wanted = self.wanted.entry(model.to_owned()).or_default();
        wanted.mark_recent(record.version, record.replaces, now);
    }

    /// Records that a target crashed before it began to answer a call with a suspect part, or a
    /// suspect call.
    pub fn add_crash(&mut self, suspect: SuspectKey, label: &str, crash: &str) {
        Arc::make_mut(&mut self.quarantine).add_crash(suspect, label, crash);
    }

    /// Records that a crash of a suspect was written to the service at `now`.
    pub fn set_suspect_written(&mut self, suspect: SuspectKey, now: Duration) {
        Arc::make_mut(&mut self.quarantine).set_written(suspect, now);
    }

    /// Returns the prompt parts and calls that may crash targets.
    #[must_use]
    pub fn quarantine(&self) -> &Quarantine {
        &self.quarantine
    }

    /// Returns what is known of fencing tokens.
    #[must_use]
    pub fn fencing(&self) -> &KnownFencing {
        &self.fencing
    }

    /// Records that everything was read in this incarnation of the service.
    pub fn set_incarnation(&mut self, incarnation: Incarnation) {
        self.incarnation = incarnation;
    }

    /// Returns the incarnation of the service in which everything was last read.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Whether a configuration newer than `config` is in force.
    #[must_use]
    pub fn has_newer(&self, config: &RouteConfig) -> bool {
        let newest = self.table.as_ref().map(|table| table.config().version);
        newest.is_some_and(|newest| newest > config.version)
    }

    /// Records that another instance was without word from the service for at most `gap` during the last
    /// outage. Returns whether the service was there then; if not, that instance could not reach it
    /// either, or cannot tell.
    pub fn note_gap_of_other(&mut self, gap: Duration, now: Duration) -> bool {
        let was_there = gap < MIN_LAPSE_TIME;
        if was_there {
            self.rule_out_lapse(now);
        }
        was_there
    }

    /// Records that this state was current at `current_at`, which may be in the past: for a listing
    /// it is when the request was sent, after a suspension the last time before it.
    pub fn confirm(&mut self, current_at: Duration) {
        self.confirmed_at = Some(current_at);
        self.was_suspended = false;
        if let Some(outage) = &mut self.outage {
            outage.is_caught_up = true;
        }
    }

    /// Records that this process was suspended, so changes that it receives until the next
    /// confirmation may have been made long before.
    pub fn note_suspension(&mut self) {
        self.was_suspended = true;
    }

    /// Records that this instance shuts down.
    pub fn begin_shutdown(&mut self, shutdown: OwnShutdown) {
        self.own_shutdown = Some(shutdown);
    }

    /// Returns what the request path needs to know about the shutdown of this instance, if it shuts
    /// down.
    #[must_use]
    pub fn shutdown(&self) -> Option<Shutdown> {
        let own = self.own_shutdown.as_ref()?;
        let ready = self.ready_members();
        let is_other = |(name, _): &(&InstanceId, &MemberRecord)| **name != own.instance;
        let has_other = ready.iter().any(is_other);
        Some(Shutdown {
            announced_at: own.announced_at,
            answer_deadline: own.answer_deadline,
            back_at: (!has_other).then(|| self.ready_again_at(own)),
        })
    }

    /// Returns the addresses of the instances that this instance learned after `since` to be no
    /// longer ready. Leaves out those that it has never seen ready.
    #[must_use]
    pub fn unready_after(&self, since: Duration) -> Vec<SocketAddr> {
        let unready = self.unready_members_after(since).into_iter();
        unready.map(|record| record.address).collect()
    }

    /// Returns the instances that [`KnownState::unready_after`] names.
    pub(crate) fn unready_members_after(&self, since: Duration) -> Vec<&MemberRecord> {
        let members = self.members.values();
        let unready = members.filter(|member| member.unready_since.is_some_and(|at| at > since));
        unready.map(|member| &member.record).collect()
    }

    /// Estimates when the instance that began to shut down first, this one included, is ready again,
    /// assuming that it uses its whole grace period.
    fn ready_again_at(&self, own: &OwnShutdown) -> Duration {
        let unready = self
            .members
            .values()
            .filter_map(|member| member.unready_since);
        let first = unready
            .min()
            .map_or(own.started_at, |unready| unready.min(own.started_at));
        first + own.grace_period + RESTART_TIME
    }

    /// Removes targets and instances that did not register again in time, and evacuations that were not
    /// written again. Returns whether anything changed.
    pub fn expire(&mut self, now: Duration) -> bool {
        let members_count = self.members.len();
        let stays = |at: Option<Duration>| at.is_none_or(|at| now < at);
        self.members.retain(|_, member| stays(member.expires_at));
        let evacuations_count = self.evacuations.len();
        self.evacuations.retain(|_, expires_at| stays(*expires_at));
        self.targets.expire(now)
            || self.members.len() < members_count
            || self.evacuations.len() < evacuations_count
    }

    /// Returns the holder of the order lock.
    #[must_use]
    pub fn holder(&self) -> Option<&KnownHolder> {
        self.holder.as_ref()
    }

    /// Returns the ready instances in name order.
    #[must_use]
    pub fn ready_members(&self) -> Vec<(&InstanceId, &MemberRecord)> {
        let members = self
            .members
            .iter()
            .map(|(name, member)| (name, &member.record));
        members.filter(|(_, record)| record.ready).collect()
    }

    /// Returns the feed address of each ready instance that serves a feed. In its feed, an instance
    /// tells the others what it has learned of the stores and engines that it follows.
    #[must_use]
    pub fn feed_addresses(&self) -> BTreeMap<InstanceId, SocketAddr> {
        let members = self.ready_members().into_iter();
        let feeding = members.filter_map(|(name, record)| Some((name.clone(), record.feed?)));
        feeding.collect()
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn table(&self) -> Option<&Arc<RouteTable>> {
        self.table.as_ref()
    }

    /// Returns the wanted versions of each model.
    #[must_use]
    pub fn wanted(&self) -> &HashMap<ModelId, WantedVersions> {
        &self.wanted
    }

    /// Returns all known targets.
    pub fn targets(&self) -> impl Iterator<Item = &Arc<TargetState>> {
        self.targets.iter()
    }

    /// Returns the evacuated failure domains, in order.
    pub fn evacuated_domains(&self) -> impl Iterator<Item = &FailureDomainId> {
        self.evacuations.keys()
    }

    /// Returns the target at an address.
    #[must_use]
    pub fn target_at(&self, address: SocketAddr) -> Option<&Arc<TargetState>> {
        self.targets.at(address)
    }

    /// Builds the view that the request path works with, with ready instances that are known since
    /// `now`. Before the first confirmation its age is unknown and counts as zero; the age is only
    /// logged.
    #[must_use]
    pub fn view(&self, now: Duration) -> View {
        let ready_members = self.members.values().filter(|member| member.record.ready);
        let instance_seeds: Arc<[u64]> = ready_members.map(|member| member.seed).collect();
        let instances_count = instance_seeds.len().max(1);
        let peers = self.members.iter().filter_map(|(name, member)| {
            let address = member.record.peer_calls?;
            member.record.ready.then(|| Peer {
                name: name.clone(),
                seed: member.seed,
                address,
                failure_domain: member.record.failure_domain.clone(),
            })
        });
        View {
            route_table: self.table.clone(),
            pools: self.targets.by_pool(),
            loading: self
                .loading
                .iter()
                .flat_map(|it| it.loading.clone())
                .collect(),
            wanted_versions: self.wanted.clone(),
            quarantine: self.quarantine.clone(),
            instances_count: u32::try_from(instances_count).unwrap_or(u32::MAX),
            instance_seeds,
            instances_since: now,
            peers: peers.collect(),
            confirmed_at: self.confirmed_at.unwrap_or(now),
            shutdown: self.shutdown(),
            evacuated_domains: self.evacuated_domains().cloned().collect(),
        }
    }

    /// Applies the announcement that targets have loaded their new weights, which arrives before
    /// their updated registrations.
    fn note_loaded(&self, record: &LoadingRecord) {
        for id in &record.loaded {
            if let Some(target) = self.targets.get(id) {
                let call_stats = &target.call_stats;
                call_stats.record_version(&record.model, record.version);
            }
        }
    }

    /// Returns the earliest time at which a change received at `now` may have been made, or `None`
    /// before the first confirmation, since the change may then be arbitrarily old.
    fn earliest_change_time(&self, now: Duration) -> Option<Duration> {
        let confirmed_at = self.confirmed_at?;
        let is_late = now.saturating_sub(confirmed_at) > MAX_CONFIRMATION_AGE;
        Some(if is_late || self.was_suspended {
            confirmed_at
        } else {
            now
        })
    }

    /// Adds or updates an instance. An instance that was not ready when first seen gets no
    /// `unready_since`, since it may have been unready for long.
    fn put_member(&mut self, name: &str, record: MemberRecord, now: Duration) {
        self.fencing
            .note(record.highest_fencing, &record.fencing_holder);
        let before = self.members.get(name);
        let unready_since = match before {
            _ if record.ready => None,
            Some(before) if before.record.ready => Some(now),
            Some(before) => before.unready_since,
            None => None,
        };
        let member = KnownMember {
            record,
            seed: rendezvous::member_seed(name),
            expires_at: None,
            unready_since,
        };
        self.members.insert(name.to_owned(), member);
    }

    /// Returns the limit of a target that an instance has announced.
    #[must_use]
    pub fn announced_limit(&self, target: &str) -> Option<AnnouncedLimit> {
        self.targets.announced_limit(target)
    }
}
