//! What is known of one target.

use {
    crate::LinkRate,
    arc_swap::ArcSwapOption,
    catalog::{Target, TargetId, VersionDigest},
    routing::EngineLoad,
    std::{
        net::SocketAddr,
        sync::{
            Arc, Mutex, PoisonError,
            atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
    target::{LoadReport, StoreUsage},
};

/// Age at which a load report no longer vouches for its engine.
const STALE_REPORT: Duration = Duration::from_secs(4);
/// Age at which the instance list no longer vouches for a target that it showed.
const STALE_LISTING: Duration = Duration::from_secs(3);
/// How long a target is left out after a connection to it failed, unless it reports sooner.
const BLAME: Duration = Duration::from_secs(1);

/// How long an engine that answered with another version than it reports is not asked for that
/// version.
const DISPROVED: Duration = Duration::from_secs(30);

#[derive(Debug)]
struct Received {
    report: LoadReport,
    at: Instant,
}

/// What the instance list shows of one target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ListedState {
    /// It runs.
    Live,
    /// It leaves.
    Leaving,
    /// It is not on the list.
    Absent,
}

/// What is known of one target.
#[derive(Debug)]
pub struct TargetView {
    name: TargetId,
    address: SocketAddr,
    report: ArcSwapOption<Received>,
    usage: ArcSwapOption<StoreUsage>,
    listed_leaving: AtomicBool,
    listed_live: Mutex<Option<Instant>>,
    refused_leaving: Mutex<Option<Instant>>,
    blamed: Mutex<Option<Instant>>,
    disproved: ArcSwapOption<(VersionDigest, Instant)>,
    in_flight_count: AtomicU32,
    prefill_tokens: AtomicU64,
    link_queued_bytes: AtomicU64,
    link: Mutex<(LinkRate, Instant)>,
    configured_link: LinkRate,
}

impl TargetView {
    /// A target of which only the configuration is known.
    #[must_use]
    pub fn new(target: &Target) -> Self {
        Self {
            name: target.name.clone(),
            address: target.address,
            report: ArcSwapOption::empty(),
            usage: ArcSwapOption::empty(),
            listed_leaving: AtomicBool::new(false),
            listed_live: Mutex::new(None),
            refused_leaving: Mutex::new(None),
            blamed: Mutex::new(None),
            disproved: ArcSwapOption::empty(),
            in_flight_count: AtomicU32::new(0),
            prefill_tokens: AtomicU64::new(0),
            link_queued_bytes: AtomicU64::new(0),
            link: Mutex::new((
                LinkRate::configured(target.link_bytes_per_s),
                Instant::now(),
            )),
            configured_link: LinkRate::configured(target.link_bytes_per_s),
        }
    }

    /// Name of the target.
    #[must_use]
    pub fn name(&self) -> &TargetId {
        &self.name
    }

    /// Address of the target.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Takes over an engine's load report, which also shows that the engine is reachable.
    pub fn set_report(&self, report: LoadReport, now: Instant) {
        self.note_report_leaving(&report, now);
        self.report
            .store(Some(Arc::new(Received { report, at: now })));
        self.stop_avoiding();
    }

    /// Takes over a store's report, which also shows that the store is reachable.
    pub fn set_usage(&self, usage: StoreUsage) {
        self.usage.store(Some(Arc::new(usage)));
        self.stop_avoiding();
    }

    /// The store's last report.
    #[must_use]
    pub fn usage(&self) -> Option<Arc<StoreUsage>> {
        self.usage.load_full()
    }

    /// Takes over what the instance list shows at `now`. A target that was on the list and no
    /// longer is has left.
    pub fn set_listed(&self, listed: ListedState, now: Instant) {
        let mut live = lock(&self.listed_live);
        let leaving = match listed {
            ListedState::Live => {
                *live = Some(now);
                false
            }
            ListedState::Leaving => true,
            ListedState::Absent => self.listed_leaving.load(Ordering::Relaxed) || live.is_some(),
        };
        self.listed_leaving.store(leaving, Ordering::Relaxed);
    }

    /// Whether the instance list, if it ever showed the target, did so lately. Targets that don't
    /// report by themselves get no new work otherwise, since they may be leaving unseen.
    #[must_use]
    pub fn is_listing_fresh(&self, now: Instant) -> bool {
        lock(&self.listed_live).is_none_or(|at| now.saturating_duration_since(at) < STALE_LISTING)
    }

    /// Notes that the target itself refused work at `now` because it leaves.
    pub fn mark_refused_leaving(&self, now: Instant) {
        *lock(&self.refused_leaving) = Some(now);
    }

    /// A report made before the target refused work doesn't take the refusal back.
    fn note_report_leaving(&self, report: &LoadReport, now: Instant) {
        let mut refused = lock(&self.refused_leaving);
        if report.leaving {
            *refused = Some(now);
            return;
        }
        let age = now.saturating_duration_since(refused.unwrap_or(now));
        if age > Duration::from_millis(report.age_ms) {
            *refused = None;
        }
    }

    /// Whether the instance list or the target itself says that it leaves.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.listed_leaving.load(Ordering::Relaxed) || lock(&self.refused_leaving).is_some()
    }

    /// Notes that new connections to the target fail.
    pub fn avoid(&self, now: Instant) {
        *lock(&self.blamed) = Some(now);
    }

    /// Notes that the target answered.
    pub fn stop_avoiding(&self) {
        *lock(&self.blamed) = None;
    }

    /// Whether new connections to the target failed a moment ago.
    #[must_use]
    pub fn is_avoided(&self, now: Instant) -> bool {
        let blamed = *lock(&self.blamed);
        blamed.is_some_and(|at| now.saturating_duration_since(at) < BLAME)
    }

    /// Whether an engine can be vouched for: it reported lately and connections to it work.
    #[must_use]
    pub fn is_reachable(&self, now: Instant) -> bool {
        let fresh = self
            .report
            .load()
            .as_ref()
            .is_some_and(|received| now.saturating_duration_since(received.at) < STALE_REPORT);
        fresh && !self.is_avoided(now)
    }

    /// The engine's last report.
    #[must_use]
    pub fn report(&self) -> Option<LoadReport> {
        let received = self.report.load();
        received.as_ref().map(|received| received.report.clone())
    }

    /// Notes that the engine was asked for a version and answered with another one, whatever it
    /// reports.
    pub fn mark_version_mismatch(&self, digest: &VersionDigest, now: Instant) {
        self.disproved.store(Some(Arc::new((digest.clone(), now))));
    }

    /// Whether the engine has the version of this digest loaded: it reports so, and did not answer
    /// with another one in the last 30 seconds.
    #[must_use]
    pub fn has_version(&self, digest: &str, now: Instant) -> bool {
        let disproved = self.disproved.load();
        let is_disproved = disproved.as_ref().is_some_and(|disproved| {
            disproved.0 == digest && now.saturating_duration_since(disproved.1) < DISPROVED
        });
        let received = self.report.load();
        let reports = received.as_ref().is_some_and(|received| {
            let report = &received.report;
            report.version == digest || report.versions.iter().any(|loaded| loaded == digest)
        });
        reports && !is_disproved
    }

    /// The engine's load as last reported, with this instance's own requests in flight.
    #[must_use]
    pub fn load(&self, now: Instant) -> EngineLoad {
        let own_count = self.in_flight_count.load(Ordering::Relaxed);
        let own_pending_tokens = self.prefill_tokens.load(Ordering::Relaxed);
        let received = self.report.load();
        let Some(received) = received.as_ref() else {
            return EngineLoad {
                running_count: own_count,
                own_pending_tokens,
                ..EngineLoad::default()
            };
        };
        let report = &received.report;
        EngineLoad {
            running_count: report.running_count.max(own_count),
            queued_count: report.queued_count,
            queued_tokens: report.queued_tokens,
            own_pending_tokens,
            report_age: now.saturating_duration_since(received.at)
                + Duration::from_millis(report.age_ms),
        }
    }

    /// Counts a request of this instance as in flight until the guard is dropped. Its
    /// `prefill_tokens` count until [`InFlightRequest::mark_first_token`].
    #[must_use]
    pub fn begin_request(self: &Arc<Self>, prefill_tokens: u64) -> InFlightRequest {
        self.in_flight_count.fetch_add(1, Ordering::Relaxed);
        self.prefill_tokens
            .fetch_add(prefill_tokens, Ordering::Relaxed);
        InFlightRequest {
            view: Arc::clone(self),
            prefill_tokens,
        }
    }

    /// Requests of this instance in flight.
    #[must_use]
    pub fn in_flight_count(&self) -> u32 {
        self.in_flight_count.load(Ordering::Relaxed)
    }

    /// Measured rate of the target's link.
    #[must_use]
    pub fn link_rate(&self) -> LinkRate {
        let (rate, measured_at) = *self.link.lock().unwrap_or_else(PoisonError::into_inner);
        rate.decayed(self.configured_link, measured_at.elapsed())
    }

    /// Takes in one transfer over the target's link.
    pub fn record_transfer(&self, bytes: u64, seconds: f64) {
        let mut link = self.link.lock().unwrap_or_else(PoisonError::into_inner);
        link.0.record_transfer(bytes, seconds);
        link.1 = Instant::now();
    }

    /// Bytes that wait for the target's link, as far as known.
    #[must_use]
    pub fn link_queued_bytes(&self) -> u64 {
        self.link_queued_bytes.load(Ordering::Relaxed)
    }

    /// Adds bytes that will cross the target's link.
    pub fn queue_link_bytes(&self, bytes: u64) {
        self.link_queued_bytes.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Takes back bytes that crossed the link or will not.
    pub fn dequeue_link_bytes(&self, bytes: u64) {
        self.link_queued_bytes.fetch_sub(bytes, Ordering::Relaxed);
    }
}

/// A request of this instance at a target, until dropped.
#[derive(Debug)]
pub struct InFlightRequest {
    view: Arc<TargetView>,
    prefill_tokens: u64,
}

impl InFlightRequest {
    /// The prompt has been computed; its tokens no longer wait.
    pub fn mark_first_token(&mut self) {
        self.view
            .prefill_tokens
            .fetch_sub(self.prefill_tokens, Ordering::Relaxed);
        self.prefill_tokens = 0;
    }
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        self.mark_first_token();
        self.view.in_flight_count.fetch_sub(1, Ordering::Relaxed);
    }
}

fn lock<Value>(mutex: &Mutex<Value>) -> std::sync::MutexGuard<'_, Value> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
