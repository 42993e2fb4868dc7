//! What an instance believes at one moment. Replaced as a whole, never changed.

use {
    crate::{Shutdown, boot_time},
    balance::{Health, Outcome, StartDelay},
    catalog::{FailureDomainId, ModelId, TargetId},
    routes::{PoolId, RouteTable},
    std::{
        collections::{BTreeSet, HashMap, HashSet},
        net::SocketAddr,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicU32, Ordering},
        },
        time::Duration,
    },
};

/// Weights of one model at a target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoadedModel {
    /// Model.
    pub model: ModelId,
    /// Version of its weights.
    pub version: u64,
}

/// What the calls of this instance have seen of a target. Outlives views.
#[derive(Debug, Default)]
pub struct TargetStats {
    in_flight_count: AtomicU32,
    observations: Mutex<Observations>,
}

#[derive(Clone, Debug, Default)]
struct Observations {
    health: Health,
    start_delay: StartDelay,
    paused_until: Duration,
    versions: HashMap<ModelId, u64>,
}

impl TargetStats {
    /// Calls of this instance that are under way there.
    #[must_use]
    pub fn in_flight_count(&self) -> u32 {
        self.in_flight_count.load(Ordering::Relaxed)
    }

    /// Counts a call as under way until the guard is dropped.
    #[must_use]
    pub fn start_call(self: &Arc<Self>) -> InFlightGuard {
        self.in_flight_count.fetch_add(1, Ordering::Relaxed);
        InFlightGuard {
            call_stats: self.clone(),
        }
    }

    /// Counts what came of a call; `now` is the time since the relay's origin. Returns whether the
    /// target is left out from now on though it was not before.
    pub fn record_outcome(&self, outcome: Outcome, now: Duration) -> bool {
        let mut observations = self.lock();
        let was_left_out = observations.health.is_left_out(now);
        observations.health.record(outcome, now);
        !was_left_out && observations.health.is_left_out(now)
    }

    /// Whether calls should go elsewhere because the target failed others.
    #[must_use]
    pub fn is_left_out(&self, now: Duration) -> bool {
        self.lock().health.is_left_out(now)
    }

    /// Counts a call whose first event took `took`, or that was given up without one after `took`, at
    /// `now`, since the relay's origin.
    pub fn record_start_delay(&self, took: Duration, now: Duration) {
        self.lock().start_delay.record(took, now);
    }

    /// Time that a call sent at `now` should be given to begin.
    #[must_use]
    pub fn start_delay(&self, now: Duration) -> Duration {
        self.lock().start_delay.expected(now)
    }

    /// Keeps calls away until `until`, for example while the target loads weights.
    pub fn pause(&self, until: Duration) {
        let mut observations = self.lock();
        observations.paused_until = observations.paused_until.max(until);
    }

    /// Whether calls are kept away for the moment.
    #[must_use]
    pub fn is_paused(&self, now: Duration) -> bool {
        now < self.lock().paused_until
    }

    /// Notes a version that an answer of the target has shown or that it must have.
    pub fn record_version(&self, model: &str, version: u64) {
        let mut observations = self.lock();
        let known = observations.versions.entry(model.to_owned()).or_default();
        *known = (*known).max(version);
    }

    /// Forgets what answers have shown: the target's own report counts again.
    pub fn forget_version(&self, model: &str) {
        self.lock().versions.remove(model);
    }

    /// Newest version that the target's answers have shown.
    #[must_use]
    pub fn observed_version(&self, model: &str) -> Option<u64> {
        self.lock().versions.get(model).copied()
    }

    fn lock(&self) -> MutexGuard<'_, Observations> {
        self.observations
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Counts a call as under way until dropped.
#[derive(Debug)]
pub struct InFlightGuard {
    call_stats: Arc<TargetStats>,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.call_stats
            .in_flight_count
            .fetch_sub(1, Ordering::Relaxed);
    }
}

/// A target that may get calls.
#[derive(Clone, Debug)]
pub struct TargetState {
    /// Name of this start of the target.
    pub id: TargetId,
    /// Rendezvous seed of the name.
    pub seed: u64,
    /// Address.
    pub address: SocketAddr,
    /// Failure domain.
    pub failure_domain: FailureDomainId,
    /// Calls that it runs at once.
    pub slots_count: u32,
    /// Whether it leaves.
    pub draining: bool,
    /// Weights that it had when it last reported.
    pub models: Vec<LoadedModel>,
    /// What calls have seen of it.
    pub call_stats: Arc<TargetStats>,
}

impl TargetState {
    /// Version of a model's weights, by its report or by an answer since.
    #[must_use]
    pub fn version(&self, model: &str) -> Option<u64> {
        let reported = self.models.iter().find(|it| it.model == model);
        let reported = reported.map(|it| it.version);
        reported.max(self.call_stats.observed_version(model))
    }
}

/// Weights that the operators named, and since when.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WantedVersion {
    /// Version.
    pub version: u64,
    /// When it was named at the earliest, by [`boot_time`]; none if nothing bounds that.
    pub wanted_since: Option<Duration>,
    /// When this instance heard of it.
    pub learned_at: Duration,
}

impl WantedVersion {
    /// Longest time for which it can have been wanted; none if nothing bounds it.
    fn max_age(&self, now: Duration) -> Option<Duration> {
        Some(now.saturating_sub(self.wanted_since?))
    }
}

/// Weights that the operators want of one model. Each version has a bound of its own, so those
/// before the newest one still count.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct WantedVersions {
    /// By version, the oldest first.
    versions: Vec<WantedVersion>,
    /// Versions that the key-value service marks as named lately.
    recent: BTreeSet<u64>,
}

impl WantedVersions {
    /// Notes a version that was named at `since` at the earliest and is heard of at `learned_at`. Returns
    /// whether it is newer than all before.
    pub fn add(
        &mut self,
        version: u64,
        wanted_since: Option<Duration>,
        learned_at: Duration,
    ) -> bool {
        let is_newer = self
            .versions
            .last()
            .is_none_or(|last| last.version < version);
        if is_newer {
            self.versions.push(WantedVersion {
                version,
                wanted_since,
                learned_at,
            });
        }
        is_newer
    }

    /// Notes that `version` was named lately, which replaced the wish for `replaces` (0 if there was
    /// none). Bounds the age of versions that were there before this instance.
    pub fn mark_recent(&mut self, version: u64, replaces: u64, now: Duration) {
        self.recent.insert(version);
        self.insert_of_unknown_age(replaces, now);
        self.insert_of_unknown_age(version, now);
    }

    /// Adds a version of unknown age, unless it is known.
    fn insert_of_unknown_age(&mut self, version: u64, now: Duration) {
        let search = self
            .versions
            .binary_search_by_key(&version, |it| it.version);
        let Err(position) = search else {
            return;
        };
        if version > 0 {
            let found = WantedVersion {
                version,
                wanted_since: None,
                learned_at: now,
            };
            self.versions.insert(position, found);
        }
    }

    /// Notes that `version` is not marked as named lately any more.
    pub fn unmark_recent(&mut self, version: u64) {
        self.recent.remove(&version);
    }

    /// Whether `version` is marked as named lately.
    #[must_use]
    pub fn is_recent(&self, version: u64) -> bool {
        self.recent.contains(&version)
    }

    /// The newest version; 0 if none was named.
    #[must_use]
    pub fn newest_version(&self) -> u64 {
        self.versions.last().map_or(0, |named| named.version)
    }

    /// The version that was wanted before the newest one; 0 if none was.
    #[must_use]
    pub fn previous_version(&self) -> u64 {
        let before = self.versions.iter().rev().nth(1);
        before.map_or(0, |named| named.version)
    }

    /// The first version that was named after `version`.
    #[must_use]
    pub fn version_after(&self, version: u64) -> Option<u64> {
        let newer = self.versions.iter().map(|named| named.version);
        newer.filter(|named| *named > version).min()
    }

    /// Longest time for which the newest version can have been wanted; none if nothing bounds it.
    #[must_use]
    pub fn max_age(&self, now: Duration) -> Option<Duration> {
        self.versions.last()?.max_age(now)
    }

    /// Time for which this instance has known of the newest version.
    #[must_use]
    pub fn known_for(&self, now: Duration) -> Duration {
        let learned_at = self.versions.last().map_or(now, |named| named.learned_at);
        now.saturating_sub(learned_at)
    }

    /// The least version that may be used at `now` if a version has to be in use everywhere
    /// `bound` after it was named.
    #[must_use]
    pub fn min_required_version(&self, now: Duration, bound: Duration) -> u64 {
        let due = self
            .versions
            .iter()
            .filter(|named| self.is_due(named, now, bound));
        due.map(|named| named.version).max().unwrap_or(0)
    }

    /// Whether a version has to be in use everywhere. One of unknown age may be used as long as it is
    /// marked, but no longer than if it had been named when this instance heard of it.
    fn is_due(&self, named: &WantedVersion, now: Duration, bound: Duration) -> bool {
        if let Some(age) = named.max_age(now) {
            return age >= bound;
        }
        let known_for = now.saturating_sub(named.learned_at);
        !self.is_recent(named.version) || known_for >= bound
    }
}

/// What an instance believes at one moment.
#[derive(Clone, Debug)]
pub struct View {
    /// Configuration in force; none until one is known.
    pub route_table: Option<Arc<RouteTable>>,
    /// Targets of each pool.
    pub pools: HashMap<PoolId, Vec<Arc<TargetState>>>,
    /// Targets that replace their weights now; they take no calls.
    pub loading: HashSet<TargetId>,
    /// Weights that are wanted, by model.
    pub wanted_versions: HashMap<ModelId, WantedVersions>,
    /// Instances that are ready, this one included.
    pub instances_count: u32,
    /// When the key-value service last confirmed all of this, by [`boot_time`].
    pub confirmed_at: Duration,
    /// That this instance leaves, if it does.
    pub shutdown: Option<Shutdown>,
}

impl Default for View {
    fn default() -> Self {
        Self {
            route_table: None,
            pools: HashMap::new(),
            loading: HashSet::new(),
            wanted_versions: HashMap::new(),
            instances_count: 1,
            confirmed_at: boot_time(),
            shutdown: None,
        }
    }
}

impl View {
    /// Time since the key-value service last confirmed all of this.
    #[must_use]
    pub fn age(&self) -> Duration {
        boot_time().saturating_sub(self.confirmed_at)
    }

    /// Version of the configuration in force; 0 if none is known.
    #[must_use]
    pub fn configuration_version(&self) -> u64 {
        self.route_table
            .as_ref()
            .map_or(0, |table| table.config().version)
    }
}
