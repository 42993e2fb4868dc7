//! Snapshot of what an instance knows about targets, configuration and weights.

use {
    crate::{Shutdown, TargetStats, WantedVersions, boot_time},
    catalog::{FailureDomainId, InstanceId, ModelId, SoftwareVersion, TargetId},
    quarantine::Quarantine,
    routes::{PoolId, RouteTable},
    std::{
        collections::{HashMap, HashSet},
        net::SocketAddr,
        sync::Arc,
        time::Duration,
    },
};

/// Oldest confirmation of the view with which an instance trusts that it knows all targets of a pool.
/// Longer than a watch request waits for changes.
pub(crate) const MAX_VIEW_AGE: Duration = Duration::from_secs(3);
/// Oldest confirmation of the configuration by which it may reject a call with an unknown route or
/// key. Later, a newer configuration may have added the route or key, so the caller is told to retry
/// instead.
const MAX_CONFIG_AGE: Duration = Duration::from_secs(3);

/// A model whose weights a target has loaded.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoadedModel {
    /// Name of the model.
    pub model: ModelId,
    /// Version of the loaded weights.
    pub version: u64,
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
    /// Version of the target's software.
    pub software_version: SoftwareVersion,
    /// Address of the target.
    pub address: SocketAddr,
    /// Failure domain that the target is in.
    pub failure_domain: FailureDomainId,
    /// Number of calls that the target runs concurrently.
    pub slots_count: u32,
    /// Whether the target is shutting down by its registration and gets no new calls.
    pub draining: bool,
    /// Weights that the target had at its last report.
    pub models: Vec<LoadedModel>,
    /// What calls of this instance have observed of the target.
    pub call_stats: Arc<TargetStats>,
}

impl TargetState {
    /// Whether the target shuts down, by its registration or by its answers.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.draining || self.call_stats.is_leaving()
    }

    /// Version of a model's weights: the newer of the target's report and its answers.
    #[must_use]
    pub fn version(&self, model: &str) -> Option<u64> {
        let reported = self.models.iter().find(|it| it.model == model);
        let reported = reported.map(|it| it.version);
        reported.max(self.call_stats.observed_version(model))
    }
}

/// Another instance that answers calls for this one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Peer {
    /// Name of the instance.
    pub name: InstanceId,
    /// Rendezvous seed of the name.
    pub seed: u64,
    /// Address at which it answers calls of other instances.
    pub address: SocketAddr,
    /// Failure domain that it runs in.
    pub failure_domain: FailureDomainId,
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
    /// Since when these have been the ready instances, and the configuration has been in force, by
    /// [`boot_time`].
    pub instances_since: Duration,
    /// Ready instances that answer calls of others, including this one.
    pub peers: Arc<[Peer]>,
    /// When the key-value service last confirmed that the view is current, by [`boot_time`].
    pub confirmed_at: Duration,
    /// Shutdown schedule of this instance, if it is shutting down.
    pub shutdown: Option<Shutdown>,
    /// Failure domains whose targets get nothing new.
    pub evacuated_domains: HashSet<FailureDomainId>,
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
            instances_since: boot_time(),
            peers: Arc::default(),
            confirmed_at: boot_time(),
            shutdown: None,
            evacuated_domains: HashSet::new(),
        }
    }
}

/// What a call names and the configuration may lack.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Named {
    /// The route, by host and path.
    Route,
    /// The client account, by its key.
    Account,
}

/// Shows that a configuration lacks what a call names, and was in force a moment ago. Only with it is
/// a call refused for good.
///
/// ```compile_fail,E0423
/// use relay::{Absence, Declined, Named, Reason};
///
/// fn refuse() -> Declined {
///     Reason::Absent(Absence(Named::Account)).into()
/// }
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Absence(Named);

impl Absence {
    /// What the configuration lacks.
    #[must_use]
    pub fn of(self) -> Named {
        self.0
    }
}

impl View {
    /// Whether the target is in an evacuated failure domain.
    #[must_use]
    pub fn is_evacuated(&self, target: &TargetState) -> bool {
        self.evacuated_domains.contains(&target.failure_domain)
    }

    /// Targets of a pool outside evacuated failure domains.
    pub fn targets_in_use(&self, pool: &str) -> impl Iterator<Item = &Arc<TargetState>> {
        let targets = self.pools.get(pool).into_iter().flatten();
        targets.filter(|target| !self.is_evacuated(target))
    }

    /// Time since the key-value service last confirmed that the view is current.
    pub(crate) fn age(&self) -> Duration {
        boot_time().saturating_sub(self.confirmed_at)
    }

    /// Whether the key-value service confirmed within `max_age` that the view is current.
    #[must_use]
    pub fn is_confirmed_within(&self, max_age: Duration) -> bool {
        self.age() <= max_age
    }

    /// Shows that what a call names and this view lacks is not there; `None` if the view may be old.
    pub(crate) fn absence_of(&self, named: Named) -> Option<Absence> {
        self.is_confirmed_within(MAX_CONFIG_AGE)
            .then_some(Absence(named))
    }

    /// Version of the current configuration; 0 if none is known.
    #[must_use]
    pub fn configuration_version(&self) -> u64 {
        self.route_table
            .as_ref()
            .map_or(0, |table| table.config().version)
    }
}
