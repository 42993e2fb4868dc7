//! What an instance knows about one target.

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

/// Age from which a load report no longer shows that its engine is reachable.
const MAX_REPORT_AGE: Duration = Duration::from_secs(4);
/// Age from which the instance list no longer shows that a listed target is live.
const MAX_LISTING_AGE: Duration = Duration::from_secs(3);
/// How long a target is avoided after a connection to it failed, unless it reports sooner.
const AVOID_TIME: Duration = Duration::from_secs(1);

/// How long an engine is not asked for a version after it answered with another one, even if it
/// reports the version as loaded.
const VERSION_MISMATCH_TIME: Duration = Duration::from_secs(30);

#[derive(Debug)]
struct ReceivedReport {
    report: LoadReport,
    received_at: Instant,
}

/// State of a target in the instance list.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ListedState {
    /// The target is running.
    Live,
    /// The target is leaving.
    Leaving,
    /// The target is not on the list.
    Absent,
}

/// What an instance knows about one target.
#[derive(Debug)]
pub struct TargetView {
    name: TargetId,
    address: SocketAddr,
    report: ArcSwapOption<ReceivedReport>,
    usage: ArcSwapOption<StoreUsage>,
    listed_leaving: AtomicBool,
    listed_live_at: Mutex<Option<Instant>>,
    refused_leaving_at: Mutex<Option<Instant>>,
    avoided_since: Mutex<Option<Instant>>,
    version_mismatch: ArcSwapOption<(VersionDigest, Instant)>,
    in_flight_count: AtomicU32,
    prefill_tokens: AtomicU64,
    link_queued_bytes: AtomicU64,
    measured_link: Mutex<(LinkRate, Instant)>,
    configured_link: LinkRate,
}

impl TargetView {
    /// Creates the view of a target of which only the configuration is known.
    #[must_use]
    pub fn new(target: &Target) -> Self {
        Self {
            name: target.name.clone(),
            address: target.address,
            report: ArcSwapOption::empty(),
            usage: ArcSwapOption::empty(),
            listed_leaving: AtomicBool::new(false),
            listed_live_at: Mutex::new(None),
            refused_leaving_at: Mutex::new(None),
            avoided_since: Mutex::new(None),
            version_mismatch: ArcSwapOption::empty(),
            in_flight_count: AtomicU32::new(0),
            prefill_tokens: AtomicU64::new(0),
            link_queued_bytes: AtomicU64::new(0),
            measured_link: Mutex::new((
                LinkRate::configured(target.link_bytes_per_s),
                Instant::now(),
            )),
            configured_link: LinkRate::configured(target.link_bytes_per_s),
        }
    }

    /// Returns the name of the target.
    #[must_use]
    pub fn name(&self) -> &TargetId {
        &self.name
    }

    /// Returns the address of the target.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stores an engine's load report, which also shows that the engine is reachable.
    pub fn set_report(&self, report: LoadReport, now: Instant) {
        self.update_refused_leaving(&report, now);
        self.report.store(Some(Arc::new(ReceivedReport {
            report,
            received_at: now,
        })));
        self.stop_avoiding();
    }

    /// Stores a store's usage report, which also shows that the store is reachable.
    pub fn set_usage(&self, usage: StoreUsage) {
        self.usage.store(Some(Arc::new(usage)));
        self.stop_avoiding();
    }

    /// Returns the store's last usage report.
    #[must_use]
    pub fn usage(&self) -> Option<Arc<StoreUsage>> {
        self.usage.load_full()
    }

    /// Updates the view with the state that the instance list showed at `now`. A target that was
    /// on the list and no longer is counts as leaving.
    pub fn set_listed(&self, listed: ListedState, now: Instant) {
        let mut live_at = lock(&self.listed_live_at);
        let leaving = match listed {
            ListedState::Live => {
                *live_at = Some(now);
                false
            }
            ListedState::Leaving => true,
            ListedState::Absent => self.listed_leaving.load(Ordering::Relaxed) || live_at.is_some(),
        };
        self.listed_leaving.store(leaving, Ordering::Relaxed);
    }

    /// Returns whether the instance list showed the target as live recently, or never did so. A
    /// target that does not report by itself gets no new work otherwise, since it may be leaving
    /// without this instance knowing.
    #[must_use]
    pub fn is_listing_fresh(&self, now: Instant) -> bool {
        lock(&self.listed_live_at)
            .is_none_or(|at| now.saturating_duration_since(at) < MAX_LISTING_AGE)
    }

    /// Records that the target itself refused work at `now` because it is leaving.
    pub fn mark_refused_leaving(&self, now: Instant) {
        *lock(&self.refused_leaving_at) = Some(now);
    }

    /// Updates the record of the target's refusal with its report. A report that was made before
    /// the target refused work does not clear the refusal.
    fn update_refused_leaving(&self, report: &LoadReport, now: Instant) {
        let mut refused_at = lock(&self.refused_leaving_at);
        if report.leaving {
            *refused_at = Some(now);
            return;
        }
        let age = now.saturating_duration_since(refused_at.unwrap_or(now));
        if age > Duration::from_millis(report.age_ms) {
            *refused_at = None;
        }
    }

    /// Returns whether the instance list or the target itself says that it is leaving.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.listed_leaving.load(Ordering::Relaxed) || lock(&self.refused_leaving_at).is_some()
    }

    /// Marks the target as one to avoid for a while, since new connections to it fail.
    pub fn avoid(&self, now: Instant) {
        *lock(&self.avoided_since) = Some(now);
    }

    /// Ends the avoidance of the target, since it answered.
    pub fn stop_avoiding(&self) {
        *lock(&self.avoided_since) = None;
    }

    /// Returns whether the target is to be avoided because new connections to it failed recently.
    #[must_use]
    pub fn is_avoided(&self, now: Instant) -> bool {
        let avoided_since = *lock(&self.avoided_since);
        avoided_since.is_some_and(|at| now.saturating_duration_since(at) < AVOID_TIME)
    }

    /// Returns whether an engine is known to be reachable: it reported recently and connections to
    /// it work.
    #[must_use]
    pub fn is_reachable(&self, now: Instant) -> bool {
        let is_fresh = self.report.load().as_ref().is_some_and(|received| {
            now.saturating_duration_since(received.received_at) < MAX_REPORT_AGE
        });
        is_fresh && !self.is_avoided(now)
    }

    /// Returns the engine's last load report.
    #[must_use]
    pub fn report(&self) -> Option<LoadReport> {
        let received = self.report.load();
        received.as_ref().map(|received| received.report.clone())
    }

    /// Records that the engine was asked for this version and answered with another one, whatever
    /// it reports.
    pub fn mark_version_mismatch(&self, digest: &VersionDigest, now: Instant) {
        self.version_mismatch
            .store(Some(Arc::new((digest.clone(), now))));
    }

    /// Returns whether the engine has the version with this digest loaded: it reports so, and has
    /// not answered with another version within the last 30 seconds.
    #[must_use]
    pub fn has_version(&self, digest: &str, now: Instant) -> bool {
        let version_mismatch = self.version_mismatch.load();
        let is_mismatched = version_mismatch.as_ref().is_some_and(|version_mismatch| {
            version_mismatch.0 == digest
                && now.saturating_duration_since(version_mismatch.1) < VERSION_MISMATCH_TIME
        });
        let received = self.report.load();
        let is_reported = received.as_ref().is_some_and(|received| {
            let report = &received.report;
            report.version == digest || report.versions.iter().any(|loaded| loaded == digest)
        });
        is_reported && !is_mismatched
    }

    /// Returns the engine's load as last reported, combined with this instance's own requests in
    /// flight.
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
            report_age: now.saturating_duration_since(received.received_at)
                + Duration::from_millis(report.age_ms),
        }
    }

    /// Counts a request of this instance as in flight until the returned guard is dropped. Its
    /// `prefill_tokens` count until [`InFlightRequest::mark_first_token`] is called.
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

    /// Returns how many requests of this instance are in flight at the target.
    #[must_use]
    pub fn in_flight_count(&self) -> u32 {
        self.in_flight_count.load(Ordering::Relaxed)
    }

    /// Returns the measured rate of the target's link, decayed since the last measurement.
    #[must_use]
    pub fn link_rate(&self) -> LinkRate {
        let (rate, measured_at) = *self
            .measured_link
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        rate.decayed(self.configured_link, measured_at.elapsed())
    }

    /// Updates the rate of the target's link with one transfer that took `seconds`.
    pub fn record_transfer(&self, bytes: u64, seconds: f64) {
        let mut measured_link = self
            .measured_link
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        measured_link.0.record_transfer(bytes, seconds);
        measured_link.1 = Instant::now();
    }

    /// Returns how many bytes wait for the target's link, as far as known.
    #[must_use]
    pub fn link_queued_bytes(&self) -> u64 {
        self.link_queued_bytes.load(Ordering::Relaxed)
    }

    /// Counts bytes as waiting to cross the target's link.
    pub fn queue_link_bytes(&self, bytes: u64) {
        self.link_queued_bytes.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Stops counting bytes that have crossed the link or never will.
    pub fn dequeue_link_bytes(&self, bytes: u64) {
        self.link_queued_bytes.fetch_sub(bytes, Ordering::Relaxed);
    }
}

/// Guard that counts a request of this instance as in flight at a target until it is dropped.
#[derive(Debug)]
pub struct InFlightRequest {
    view: Arc<TargetView>,
    prefill_tokens: u64,
}

impl InFlightRequest {
    /// Stops counting the request's prefill tokens, since the prompt has been computed.
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
