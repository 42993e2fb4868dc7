//! What an instance believes at one moment. Replaced as a whole, never changed.

use {
    balance::{Health, Outcome},
    catalog::{FailureDomainId, ModelId, TargetId},
    routes::{PoolId, RouteTable},
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicU32, Ordering},
        },
        time::{Duration, Instant},
    },
};

/// Weights of one model at a target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ModelState {
    /// Model.
    pub model: ModelId,
    /// Version of its weights.
    pub version: u64,
}

/// What the calls of this instance have seen of a target. Outlives views.
#[derive(Debug, Default)]
pub struct Live {
    in_flight_count: AtomicU32,
    seen: Mutex<Seen>,
}

#[derive(Clone, Debug, Default)]
struct Seen {
    health: Health,
    paused_until: Duration,
    versions: HashMap<ModelId, u64>,
}

impl Live {
    /// Calls of this instance that are under way there.
    #[must_use]
    pub fn in_flight_count(&self) -> u32 {
        self.in_flight_count.load(Ordering::Relaxed)
    }

    /// Counts a call as under way until the guard is dropped.
    #[must_use]
    pub fn begin(self: &Arc<Self>) -> InFlight {
        self.in_flight_count.fetch_add(1, Ordering::Relaxed);
        InFlight { live: self.clone() }
    }

    /// Counts what came of a call; `now` is the time since the relay's origin. Returns whether the
    /// target is left out from now on though it was not before.
    pub fn record(&self, outcome: Outcome, now: Duration) -> bool {
        let mut seen = self.lock();
        let before = seen.health.is_left_out(now);
        seen.health.record(outcome, now);
        !before && seen.health.is_left_out(now)
    }

    /// Whether calls should go elsewhere because the target failed others.
    #[must_use]
    pub fn is_left_out(&self, now: Duration) -> bool {
        self.lock().health.is_left_out(now)
    }

    /// Keeps calls away until `until`, for example while the target loads weights.
    pub fn pause(&self, until: Duration) {
        let mut seen = self.lock();
        seen.paused_until = seen.paused_until.max(until);
    }

    /// Whether calls are kept away for the moment.
    #[must_use]
    pub fn is_paused(&self, now: Duration) -> bool {
        now < self.lock().paused_until
    }

    /// Notes a version that an answer of the target has shown or that it must have.
    pub fn note_version(&self, model: &str, version: u64) {
        let mut seen = self.lock();
        let known = seen.versions.entry(model.to_owned()).or_default();
        *known = (*known).max(version);
    }

    /// Newest version that the target's answers have shown.
    #[must_use]
    pub fn noted_version(&self, model: &str) -> Option<u64> {
        self.lock().versions.get(model).copied()
    }

    fn lock(&self) -> MutexGuard<'_, Seen> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Counts a call as under way until dropped.
#[derive(Debug)]
pub struct InFlight {
    live: Arc<Live>,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.live.in_flight_count.fetch_sub(1, Ordering::Relaxed);
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
    pub leaving: bool,
    /// Weights that it had when it last reported.
    pub models: Vec<ModelState>,
    /// What calls have seen of it.
    pub live: Arc<Live>,
}

impl TargetState {
    /// Version of a model's weights, by its report or by an answer since.
    #[must_use]
    pub fn version(&self, model: &str) -> Option<u64> {
        let reported = self.models.iter().find(|it| it.model == model);
        let reported = reported.map(|it| it.version);
        reported.max(self.live.noted_version(model))
    }
}

/// Weights that the operators want.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Wanted {
    /// Version.
    pub version: u64,
    /// When this instance learned of it.
    pub since: Instant,
}

/// What an instance believes at one moment.
#[derive(Clone, Debug)]
pub struct View {
    /// Configuration in force; none until one is known.
    pub table: Option<Arc<RouteTable>>,
    /// Targets of each pool.
    pub pools: HashMap<PoolId, Vec<Arc<TargetState>>>,
    /// Weights that are wanted, by model.
    pub wanted: HashMap<ModelId, Wanted>,
    /// Instances that are ready, this one included.
    pub instances_count: u32,
    /// When the key-value service last confirmed all of this.
    pub confirmed: Instant,
    /// Whether this instance is shutting down.
    pub draining: bool,
}

impl Default for View {
    fn default() -> Self {
        Self {
            table: None,
            pools: HashMap::new(),
            wanted: HashMap::new(),
            instances_count: 1,
            confirmed: Instant::now(),
            draining: false,
        }
    }
}

impl View {
    /// Version of the configuration in force; 0 if none is known.
    #[must_use]
    pub fn configuration(&self) -> u64 {
        self.table.as_ref().map_or(0, |table| table.accepted().version)
    }
}
