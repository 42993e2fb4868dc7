//! What the instance believes, and how changes and outages of the key-value service alter it.

use {
    crate::{
        HolderRecord, Item, ItemName, LoadingRecord, MemberRecord, RecentVersion,
        TargetRegistration,
    },
    balance::rendezvous,
    catalog::{InstanceId, ModelId, Revision, TargetId},
    relay::{Shutdown, TargetState, TargetStats, View, WantedVersions},
    routes::RouteTable,
    std::{
        collections::{BTreeMap, HashMap},
        net::SocketAddr,
        sync::Arc,
        time::Duration,
    },
};

/// Entries that lapsed while the service was away are back this soon after its return, if what
/// they name lives and reaches it.
const RETURN_TIME: Duration = Duration::from_millis(2_500);

/// One target as known.
#[derive(Clone, Debug)]
struct KnownTarget {
    entry: TargetRegistration,
    state: Arc<TargetState>,
    /// When it is taken as gone unless its entry comes back.
    lapses_at: Option<Duration>,
}

/// One entry instance as known.
#[derive(Clone, Debug)]
struct KnownMember {
    record: MemberRecord,
    lapses_at: Option<Duration>,
    /// When it was first known to take callers no more.
    left_at: Option<Duration>,
}

/// This instance, while it leaves. Times are those of [`Known`].
#[derive(Clone, Debug)]
pub struct OwnLeaving {
    /// Its name.
    pub instance: InstanceId,
    /// When it began to leave.
    pub since: Duration,
    /// Time from then until it is ended by force.
    pub grace: Duration,
    /// From when on callers know better addresses.
    pub known_from: Duration,
    /// When its answers have to be whole.
    pub answers_until: Duration,
}

/// The right to give orders, as it lies in the service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KnownHolder {
    /// Who holds it.
    pub record: HolderRecord,
    /// Revision at which it was taken: the fencing number.
    pub fencing: Revision,
}

/// Without word from the service for longer than this, a change may have been made long before it
/// is heard of. Longer than a watch waits for news.
const MAX_NEWS_AGE: Duration = Duration::from_millis(2_500);

/// Time from the end of an instance to its next start, and until that takes callers.
const RESTART_TIME: Duration = Duration::from_millis(500);

/// What the instance believes. All times are those of a clock that counts suspension. Changes only by [`Known::put`], [`Known::delete`]
/// and [`Known::expire`]; newer configuration and versions never give way to
/// older ones.
#[derive(Clone, Debug, Default)]
pub struct Known {
    table: Option<Arc<RouteTable>>,
    wanted: HashMap<ModelId, WantedVersions>,
    targets: BTreeMap<TargetId, KnownTarget>,
    members: BTreeMap<InstanceId, KnownMember>,
    holder: Option<KnownHolder>,
    /// Targets that replace their weights now.
    loading: Option<LoadingRecord>,
    /// Until then a missing entry may only have lapsed in an outage.
    returning_until: Option<Duration>,
    confirmed: Option<Duration>,
    /// Whether news since then may have waited for this process to run again.
    was_suspended: bool,
    leaving: Option<OwnLeaving>,
}

impl Known {
    /// Takes in an item that was written at `revision`.
    pub fn put(&mut self, name: &str, item: Item, revision: Revision, now: Duration) {
        match item {
            Item::Configuration(accepted) => {
                let newest = self.table.as_ref().map(|table| table.config().version);
                if newest.is_none_or(|newest| newest < accepted.version) {
                    self.table = Some(Arc::new(RouteTable::new(*accepted)));
                }
            }
            Item::Version(version) => {
                let since = self.named_at(now);
                let wanted = self.wanted.entry(name.to_owned()).or_default();
                wanted.add(version, since, now);
            }
            Item::Recent(record) => self.mark(name, &record, now),
            Item::Target(entry) => self.put_target(name, entry),
            Item::Member(record) => {
                self.put_member(name, record, now);
            }
            Item::Loading(record) => {
                self.note_loaded(&record);
                self.loading = Some(record);
            }
            Item::Holder(record) => {
                self.holder = Some(KnownHolder {
                    record,
                    fencing: revision,
                });
            }
        }
    }

    /// Takes in that an item is gone.
    pub fn delete(&mut self, name: &ItemName, now: Duration) {
        let lapses_at = self.returning_until.filter(|until| now < *until);
        match name {
            ItemName::Target(id) => match (lapses_at, self.targets.get_mut(id)) {
                (Some(_), Some(target)) if !target.entry.leaving => target.lapses_at = lapses_at,
                _ => drop(self.targets.remove(id)),
            },
            ItemName::Member(id) => match (lapses_at, self.members.get_mut(id)) {
                (Some(_), Some(member)) => member.lapses_at = lapses_at,
                _ => drop(self.members.remove(id)),
            },
            ItemName::Holder => self.holder = None,
            ItemName::Loading => self.loading = None,
            ItemName::Recent(model, version) => {
                if let Some(wanted) = self.wanted.get_mut(model) {
                    wanted.unmark_recent(*version);
                }
            }
            // What was accepted stays in force.
            ItemName::Configuration | ItemName::Version(_) => {}
        }
    }

    /// Notes that a version of `model` was named lately, by the service's word.
    pub fn mark(&mut self, model: &str, record: &RecentVersion, now: Duration) {
        let wanted = self.wanted.entry(model.to_owned()).or_default();
        wanted.mark_recent(record.version, record.replaces, now);
    }

    /// Notes that the service has answered after an outage.
    pub fn returned(&mut self, now: Duration) {
        self.returning_until = Some(now + RETURN_TIME);
    }

    /// Notes that all of this holds at `now`, by the service's word.
    pub fn confirm(&mut self, now: Duration) {
        self.confirmed = Some(now);
        self.was_suspended = false;
    }

    /// Notes that this process did not run for a while, so that what it hears until the next
    /// confirmation may have been said long before.
    pub fn suspended(&mut self) {
        self.was_suspended = true;
    }

    /// Notes that this instance leaves.
    pub fn leave(&mut self, leaving: OwnLeaving) {
        self.leaving = Some(leaving);
    }

    /// What callers of this instance can do, if it leaves.
    #[must_use]
    pub fn leaving(&self) -> Option<Shutdown> {
        let own = self.leaving.as_ref()?;
        let ready = self.ready_members();
        let is_other = |(name, _): &(&InstanceId, &MemberRecord)| **name != own.instance;
        let has_other = ready.iter().any(is_other);
        Some(Shutdown {
            announced_at: own.known_from,
            answer_deadline: own.answers_until,
            back_at: (!has_other).then(|| self.back_at(own)),
        })
    }

    /// Addresses of the instances that began to leave after `since`.
    #[must_use]
    pub fn left_since(&self, since: Duration) -> Vec<SocketAddr> {
        let members = self.members.values();
        let left = members.filter(|member| member.left_at.is_some_and(|at| at > since));
        left.map(|member| member.record.address).collect()
    }

    /// When the first of the instances that leave takes callers again, if each has all of its time.
    fn back_at(&self, own: &OwnLeaving) -> Duration {
        let left = self.members.values().filter_map(|member| member.left_at);
        let first = left.min().map_or(own.since, |left| left.min(own.since));
        first + own.grace + RESTART_TIME
    }

    /// Drops what lapsed and did not come back. Returns whether anything changed.
    pub fn expire(&mut self, now: Duration) -> bool {
        let before = self.targets.len() + self.members.len();
        let stays = |at: Option<Duration>| at.is_none_or(|at| now < at);
        self.targets.retain(|_, target| stays(target.lapses_at));
        self.members.retain(|_, member| stays(member.lapses_at));
        before != self.targets.len() + self.members.len()
    }

    /// The instance that may give orders.
    #[must_use]
    pub fn holder(&self) -> Option<&KnownHolder> {
        self.holder.as_ref()
    }

    /// Instances that take callers, by name.
    #[must_use]
    pub fn ready_members(&self) -> Vec<(&InstanceId, &MemberRecord)> {
        let members = self
            .members
            .iter()
            .map(|(name, member)| (name, &member.record));
        members.filter(|(_, record)| record.ready).collect()
    }

    /// Instances that tell others what they learn of stores and engines, and where.
    #[must_use]
    pub fn feeding_instances(&self) -> BTreeMap<InstanceId, SocketAddr> {
        let members = self.ready_members().into_iter();
        let feeding = members.filter_map(|(name, record)| Some((name.clone(), record.feed?)));
        feeding.collect()
    }

    /// The configuration in force.
    #[must_use]
    pub fn table(&self) -> Option<&Arc<RouteTable>> {
        self.table.as_ref()
    }

    /// Weights that are wanted.
    #[must_use]
    pub fn wanted(&self) -> &HashMap<ModelId, WantedVersions> {
        &self.wanted
    }

    /// All targets.
    pub fn targets(&self) -> impl Iterator<Item = &Arc<TargetState>> {
        self.targets.values().map(|target| &target.state)
    }

    /// What calls need of this.
    #[must_use]
    pub fn view(&self, now: Duration) -> View {
        let mut pools: HashMap<_, Vec<_>> = HashMap::new();
        for target in self.targets.values() {
            let pool = pools.entry(target.entry.pool.clone()).or_default();
            pool.push(target.state.clone());
        }
        let instances_count = self.ready_members().len().max(1);
        View {
            route_table: self.table.clone(),
            pools,
            loading: self
                .loading
                .iter()
                .flat_map(|it| it.loading.clone())
                .collect(),
            wanted_versions: self.wanted.clone(),
            instances_count: u32::try_from(instances_count).unwrap_or(u32::MAX),
            confirmed_at: self.confirmed.unwrap_or(now),
            shutdown: self.leaving(),
        }
    }

    /// Takes in that targets have their new weights, sooner than by their own word.
    fn note_loaded(&self, record: &LoadingRecord) {
        for id in &record.loaded {
            if let Some(target) = self.targets.get(id) {
                let call_stats = &target.state.call_stats;
                call_stats.record_version(&record.model, record.version);
            }
        }
    }

    /// The earliest time at which a change that is heard of now may have been made; none for what was
    /// there before this instance started.
    fn named_at(&self, now: Duration) -> Option<Duration> {
        let confirmed = self.confirmed?;
        let is_late = now.saturating_sub(confirmed) > MAX_NEWS_AGE;
        Some(if is_late || self.was_suspended {
            confirmed
        } else {
            now
        })
    }

    fn put_member(&mut self, name: &str, record: MemberRecord, now: Duration) {
        let before = self.members.get(name);
        let left_at = match before {
            _ if record.ready => None,
            Some(before) if before.record.ready => Some(now),
            Some(before) => before.left_at,
            None => None,
        };
        let member = KnownMember {
            record,
            lapses_at: None,
            left_at,
        };
        self.members.insert(name.to_owned(), member);
    }

    fn put_target(&mut self, id: &str, entry: TargetRegistration) {
        let before = self.targets.get(id);
        let same_start = before.filter(|it| {
            it.entry.started_unix_ms == entry.started_unix_ms && it.entry.address == entry.address
        });
        let call_stats = same_start.map_or_else(
            || Arc::new(TargetStats::default()),
            |it| it.state.call_stats.clone(),
        );
        let state = TargetState {
            id: id.to_owned(),
            seed: rendezvous::member_seed(id),
            address: entry.address,
            failure_domain: entry.failure_domain.clone(),
            slots_count: entry.slots_count,
            draining: entry.leaving,
            models: entry.models.clone(),
            call_stats,
        };
        let target = KnownTarget {
            entry,
            state: Arc::new(state),
            lapses_at: None,
        };
        self.targets.insert(id.to_owned(), target);
    }
}
