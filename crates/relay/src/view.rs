//! Snapshot of what an instance knows about targets, configuration and weights.

use {
    crate::{
        Shutdown, boot_time,
        target_limit::{Senders, TargetLimit},
    },
    balance::{CallOutcome, Health, StartDelay},
    catalog::{FailureDomainId, ModelId, TargetId},
    quarantine::Quarantine,
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

/// A model whose weights a target has loaded.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoadedModel {
    /// Name of the model.
    pub model: ModelId,
    /// Version of the loaded weights.
    pub version: u64,
}

/// Time after an answer that stated a limit within which the word of another instance that the limit
/// has ended may be older than the answer.
const LIMIT_END_DELAY: Duration = Duration::from_millis(500);

/// What a target's last answer to this instance said of a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitObservation {
    /// The limit in calls per second of all instances together; `None` if the answer stated none.
    pub limit_per_s: Option<f64>,
    /// When the answer came, by [`boot_time`].
    pub answered_at: Duration,
}

/// What this instance has observed of a target by its own calls. Shared by successive views.
///
/// Times are relative to the start of the relay.
#[derive(Debug, Default)]
pub struct TargetStats {
    in_flight_count: AtomicU32,
    observations: Mutex<Observations>,
}

#[derive(Clone, Debug, Default)]
struct Observations {
    health: Health,
    start_delay: StartDelay,
    /// Time until which calls go to other targets, if there are any.
    paused_until: Duration,
    /// Newest version of each model's weights that answers have shown.
    versions: HashMap<ModelId, u64>,
    /// Limit that the last answer stated or another instance announced; `None` without one.
    limit: Option<TargetLimit>,
    /// When the last answer came, which stated a limit or none, by [`boot_time`].
    answered_at: Option<Duration>,
    /// Whether an answer has stated a limit that is no number.
    has_stated_invalid_limit: bool,
}

impl TargetStats {
    /// Number of calls that this instance has in flight at the target.
    #[must_use]
    pub fn in_flight_count(&self) -> u32 {
        self.in_flight_count.load(Ordering::Relaxed)
    }

    /// Counts a call as in flight until the guard is dropped.
    #[must_use]
    pub fn start_call(self: &Arc<Self>) -> InFlightGuard {
        self.in_flight_count.fetch_add(1, Ordering::Relaxed);
        InFlightGuard {
            call_stats: self.clone(),
        }
    }

    /// Records the outcome of a call. Returns whether the target is ejected from now on although it
    /// was not before.
    pub fn record_outcome(&self, outcome: CallOutcome, now: Duration) -> bool {
        let mut observations = self.lock();
        let was_ejected = observations.health.is_ejected(now);
        observations.health.record(outcome, now);
        !was_ejected && observations.health.is_ejected(now)
    }

    /// Whether the target is ejected: it failed calls, so calls avoid it unless no other is left.
    #[must_use]
    pub fn is_ejected(&self, now: Duration) -> bool {
        self.lock().health.is_ejected(now)
    }

    /// Records at `now` a call whose first event came, or that was abandoned without one, after
    /// `took`.
    pub fn record_start_delay(&self, took: Duration, now: Duration) {
        self.lock().start_delay.record(took, now);
    }

    /// Recent peak of the time to first event, decayed until `now`. It estimates the time until a
    /// call sent at `now` starts to run.
    #[must_use]
    pub fn start_delay(&self, now: Duration) -> Duration {
        self.lock().start_delay.expected(now)
    }

    /// Pauses the target until `until`, for example while it loads weights.
    pub fn pause(&self, until: Duration) {
        let mut observations = self.lock();
        observations.paused_until = observations.paused_until.max(until);
    }

    /// Whether the target is paused, so that calls go to other targets if there are any.
    #[must_use]
    pub fn is_paused(&self, now: Duration) -> bool {
        now < self.lock().paused_until
    }

    /// Records that the target has at least this version of a model's weights, as an answer has
    /// shown or implied.
    pub fn record_version(&self, model: &str, version: u64) {
        let mut observations = self.lock();
        let known = observations.versions.entry(model.to_owned()).or_default();
        *known = (*known).max(version);
    }

    /// Forgets the version that answers have shown, so that the target's own report counts again.
    pub fn forget_version(&self, model: &str) {
        self.lock().versions.remove(model);
    }

    /// Newest version of a model's weights that answers have shown.
    #[must_use]
    pub fn observed_version(&self, model: &str) -> Option<u64> {
        self.lock().versions.get(model).copied()
    }

    /// Records the limit that an answer states, in calls per second of all instances together;
    /// `None` if it states none. `now` is by [`boot_time`], as all times of limits are.
    pub fn record_limit(&self, limit_per_s: Option<f64>, now: Duration) {
        let mut observations = self.lock();
        observations.answered_at = Some(now);
        match (limit_per_s, &mut observations.limit) {
            (Some(limit_per_s), Some(limit)) => limit.state(limit_per_s, now),
            (Some(limit_per_s), limit) => {
                *limit = Some(TargetLimit::new(limit_per_s, now, rand::random()));
            }
            (None, limit) => *limit = None,
        }
    }

    /// Applies a limit that another instance announces, unless an answer stated one to this
    /// instance.
    pub fn announce_limit(&self, limit_per_s: f64, now: Duration) {
        let limit = &mut self.lock().limit;
        let limit = limit.get_or_insert_with(|| TargetLimit::new(limit_per_s, now, rand::random()));
        limit.set_announced(true);
    }

    /// Applies the word of another instance that the limit has ended, unless an answer stated it to
    /// this instance within [`LIMIT_END_DELAY`].
    pub fn announce_limit_end(&self, now: Duration) {
        let limit = &mut self.lock().limit;
        let is_recent =
            |limit: &TargetLimit| now.saturating_sub(limit.stated().1) < LIMIT_END_DELAY;
        match limit {
            Some(stated) if is_recent(stated) => stated.set_announced(false),
            _ => *limit = None,
        }
    }

    /// What the last answer to this instance said of a limit; `None` before the first answer.
    #[must_use]
    pub fn limit_observation(&self) -> Option<LimitObservation> {
        let observations = self.lock();
        let answered_at = observations.answered_at?;
        let limit = observations.limit.as_ref().map(TargetLimit::stated);
        let stated = limit.filter(|(_, stated_at)| *stated_at == answered_at);
        Some(LimitObservation {
            limit_per_s: stated.map(|(limit_per_s, _)| limit_per_s),
            answered_at,
        })
    }

    /// Records that an answer states a limit that is no number. Returns whether it is the first.
    pub(crate) fn record_invalid_limit(&self) -> bool {
        let mut observations = self.lock();
        !std::mem::replace(&mut observations.has_stated_invalid_limit, true)
    }

    /// Time until the target's limit lets this instance send a call: zero if there is no limit,
    /// `None` if other instances use the whole limit.
    pub(crate) fn time_until_call(
        &self,
        target_seed: u64,
        senders: Senders<'_>,
        now: Duration,
    ) -> Option<Duration> {
        match &mut self.lock().limit {
            Some(limit) => limit.time_until_call(target_seed, senders, now),
            None => Some(Duration::ZERO),
        }
    }

    /// Takes the right to send one call under the target's limit. Returns false if there is none
    /// now.
    pub(crate) fn try_take_call(
        &self,
        target_seed: u64,
        senders: Senders<'_>,
        now: Duration,
    ) -> bool {
        let limit = &mut self.lock().limit;
        limit
            .as_mut()
            .is_none_or(|limit| limit.try_take(target_seed, senders, now))
    }

    fn lock(&self) -> MutexGuard<'_, Observations> {
        self.observations
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Counts a call as in flight until dropped.
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

/// A target of a pool.
#[derive(Clone, Debug)]
pub struct TargetState {
    /// Id of the target; a restarted target has a new one.
    pub id: TargetId,
    /// Seed of the id for rendezvous hashing.
    pub seed: u64,
    /// Start time that the target reports, in milliseconds since the Unix epoch by its own clock.
    pub started_unix_ms: u64,
    /// Address of the target.
    pub address: SocketAddr,
    /// Failure domain that the target is in.
    pub failure_domain: FailureDomainId,
    /// Number of calls that the target runs concurrently.
    pub slots_count: u32,
    /// Whether the target is shutting down and gets no new calls.
    pub draining: bool,
    /// Weights that the target had at its last report.
    pub models: Vec<LoadedModel>,
    /// What calls of this instance have observed of the target.
    pub call_stats: Arc<TargetStats>,
}

impl TargetState {
    /// Version of a model's weights: the newer of the target's report and its answers.
    #[must_use]
    pub fn version(&self, model: &str) -> Option<u64> {
        let reported = self.models.iter().find(|it| it.model == model);
        let reported = reported.map(|it| it.version);
        reported.max(self.call_stats.observed_version(model))
    }
}

/// A version of a model's weights that the operators want in use, and since when.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WantedVersion {
    /// Version number.
    pub version: u64,
    /// Earliest time at which the operators can have requested it, by [`boot_time`]; `None` if
    /// unknown.
    pub wanted_since: Option<Duration>,
    /// When this instance learned of it, by [`boot_time`].
    pub learned_at: Duration,
}

impl WantedVersion {
    /// Upper bound on the time since the operators requested it; `None` if unknown.
    fn max_age(&self, now: Duration) -> Option<Duration> {
        Some(now.saturating_sub(self.wanted_since?))
    }
}

/// Versions of one model's weights that the operators have requested.
///
/// Each version has its own deadline for being in use everywhere, so versions before the newest one
/// still matter.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct WantedVersions {
    /// Sorted by version, the oldest first.
    versions: Vec<WantedVersion>,
    /// Versions that the key-value service marks as recently requested.
    recent: BTreeSet<u64>,
}

impl WantedVersions {
    /// Adds a version that was requested at `wanted_since` at the earliest. Returns whether it is
    /// newer than all known versions; otherwise it is ignored.
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

    /// Marks `version` as recently requested, replacing version `replaces` (0 if there was none),
    /// and adds both if they are not known. The mark bounds the age of a version that was requested
    /// before this instance started.
    pub fn mark_recent(&mut self, version: u64, replaces: u64, now: Duration) {
        self.recent.insert(version);
        self.insert_of_unknown_age(replaces, now);
        self.insert_of_unknown_age(version, now);
    }

    /// Inserts a version of unknown age, unless the version is known already.
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

    /// Removes the mark that `version` was recently requested.
    pub fn unmark_recent(&mut self, version: u64) {
        self.recent.remove(&version);
    }

    /// Whether `version` is marked as recently requested.
    #[must_use]
    pub fn is_recent(&self, version: u64) -> bool {
        self.recent.contains(&version)
    }

    /// The newest wanted version; 0 if there is none.
    #[must_use]
    pub fn newest_version(&self) -> u64 {
        self.versions.last().map_or(0, |newest| newest.version)
    }

    /// The version before the newest one; 0 if there is none.
    #[must_use]
    pub fn previous_version(&self) -> u64 {
        let previous = self.versions.iter().rev().nth(1);
        previous.map_or(0, |previous| previous.version)
    }

    /// The oldest wanted version that is newer than `version`.
    #[must_use]
    pub fn version_after(&self, version: u64) -> Option<u64> {
        let versions = self.versions.iter().map(|wanted| wanted.version);
        versions.filter(|wanted| *wanted > version).min()
    }

    /// Upper bound on the time since the operators requested the newest version; `None` if unknown.
    #[must_use]
    pub fn max_age(&self, now: Duration) -> Option<Duration> {
        self.versions.last()?.max_age(now)
    }

    /// Time for which this instance has known the newest version.
    #[must_use]
    pub fn known_for(&self, now: Duration) -> Duration {
        let learned_at = self.versions.last().map_or(now, |newest| newest.learned_at);
        now.saturating_sub(learned_at)
    }

    /// The oldest version that may still be used at `now`, if each version must be in use
    /// everywhere within `bound` of its request; 0 if any version may.
    #[must_use]
    pub fn min_required_version(&self, now: Duration, bound: Duration) -> u64 {
        let due = self
            .versions
            .iter()
            .filter(|wanted| self.is_due(wanted, now, bound));
        due.map(|wanted| wanted.version).max().unwrap_or(0)
    }

    /// Whether `wanted` must be in use everywhere by now. A version of unknown age is not yet due
    /// as long as it is marked as recent and this instance has known it for less than `bound`.
    fn is_due(&self, wanted: &WantedVersion, now: Duration, bound: Duration) -> bool {
        if let Some(age) = wanted.max_age(now) {
            return age >= bound;
        }
        let known_for = now.saturating_sub(wanted.learned_at);
        !self.is_recent(wanted.version) || known_for >= bound
    }
}

/// Immutable snapshot of what an instance knows. Every change replaces the whole view.
#[derive(Clone, Debug)]
pub struct View {
    /// Route table of the current configuration; `None` until one is known.
    pub route_table: Option<Arc<RouteTable>>,
    /// Targets by pool.
    pub pools: HashMap<PoolId, Vec<Arc<TargetState>>>,
    /// Targets that are loading new weights and should get no calls.
    pub loading: HashSet<TargetId>,
    /// Wanted weights versions by model.
    pub wanted_versions: HashMap<ModelId, WantedVersions>,
    /// Prompt parts that may crash targets.
    pub quarantine: Arc<Quarantine>,
    /// Number of ready instances, including this one.
    pub instances_count: u32,
    /// Rendezvous seeds of the names of the ready instances.
    pub instance_seeds: Arc<[u64]>,
    /// When the key-value service last confirmed that the view is current, by [`boot_time`].
    pub confirmed_at: Duration,
    /// Shutdown schedule of this instance, if it is shutting down.
    pub shutdown: Option<Shutdown>,
}

impl Default for View {
    fn default() -> Self {
        Self {
            route_table: None,
            pools: HashMap::new(),
            loading: HashSet::new(),
            wanted_versions: HashMap::new(),
            quarantine: Arc::default(),
            instances_count: 1,
            instance_seeds: Arc::default(),
            confirmed_at: boot_time(),
            shutdown: None,
        }
    }
}

impl View {
    /// Time since the key-value service last confirmed that the view is current.
    #[must_use]
    pub fn age(&self) -> Duration {
        boot_time().saturating_sub(self.confirmed_at)
    }

    /// Version of the current configuration; 0 if none is known.
    #[must_use]
    pub fn configuration_version(&self) -> u64 {
        self.route_table
            .as_ref()
            .map_or(0, |table| table.config().version)
    }
}
