//! The relay: accepts calls and answers them.

use {
    crate::{
        Answer, AnswerCutoff, HeaderFormat, Refusal, StreamOrigins, SuspectReports,
        TargetReachability, TruncatedAnswer, View,
        answer::{refused, streamed, whole},
        answer_times::AnswerTimes,
        attempt::Content,
        call_recorder::CallRecorder,
        event_forwarding::frames,
        event_hold::EventHold,
        forwarded_stream::ForwardedStream,
        held_bytes::HeldBytes,
        not_run::NOT_RUN,
        overload_controls::OverloadControls,
        peer_caller::PeerCaller,
        pool_bounds::PoolBounds,
        refusal::Unanswered,
        retry_budgets::RetryBudgets,
        stream_forwarder::StreamForwarder,
        target_conditions::PassedOver,
        unframed_pools::UnframedPools,
    },
    arc_swap::ArcSwap,
    balance::{ColdAllowance, PeerLoads, RetryBounds},
    bytes::Bytes,
    catalog::FailureDomainId,
    eventlog::EventLog,
    futures::{Stream, future::Either},
    hyper::{
        Request,
        body::{Frame, Incoming},
    },
    meters::Meters,
    parts::PartDirectory,
    routes::Regions,
    std::{
        sync::{Arc, Mutex, MutexGuard, PoisonError, atomic::AtomicUsize},
        time::{Duration, Instant},
    },
    target::Client,
};

/// Settings of a relay.
#[derive(Clone, Debug, PartialEq)]
pub struct RelaySettings {
    /// Failure domain of this instance.
    pub failure_domain: FailureDomainId,
    /// Regions of the failure domains.
    pub regions: Regions,
    /// Rendezvous seed of the name of this instance.
    pub instance_seed: u64,
    /// Limits of the retry budget of each pool, summed over all instances.
    pub retry_bounds: RetryBounds,
    /// How far one second may exceed what cold targets bear; `None` sends them calls without a bound.
    pub cold_allowance: Option<ColdAllowance>,
    /// Time after a newer version is requested during which older weights may still be used.
    pub stale_weights_grace: Duration,
    /// Most bytes that are held of calls and answers together. Bodies of requests take at most two thirds.
    pub max_held_bytes: usize,
    /// Number of ready instances from which the fleet counts as large. An instance of a large fleet
    /// sends a small part of the calls, so it goes by what all of them report.
    pub large_fleet_instances_count: u32,
}

impl RelaySettings {
    /// Whether a fleet of `instances_count` ready instances is large.
    pub(crate) fn is_large_fleet(&self, instances_count: u32) -> bool {
        instances_count >= self.large_fleet_instances_count
    }
}

impl Default for RelaySettings {
    fn default() -> Self {
        Self {
            failure_domain: FailureDomainId::default(),
            regions: Regions::default(),
            instance_seed: 0,
            retry_bounds: RetryBounds::default(),
            cold_allowance: None,
            stale_weights_grace: Duration::from_secs(7),
            max_held_bytes: 48 << 20,
            large_fleet_instances_count: u32::MAX,
        }
    }
}

/// State that a relay's decisions depend on, kept up to date from outside. Clones share the state.
#[derive(Clone, Debug, Default)]
pub struct RelayState {
    /// Current view of targets and configuration.
    pub view: Arc<ArcSwap<View>>,
    /// Index of the prompt parts that stores and engines hold.
    pub cache_index: Arc<Mutex<PartDirectory>>,
    /// Calls that other instances have in flight.
    pub peer_loads: Arc<Mutex<PeerLoads>>,
    /// What calls of this instance show of prompt parts and calls that may crash targets.
    pub suspect_reports: Arc<SuspectReports>,
    /// Which pools this instance can reach.
    pub reachability: Arc<TargetReachability>,
    /// Where streams began that callers may take up.
    pub stream_origins: Arc<StreamOrigins>,
    /// Bytes that the relay holds of calls and answers.
    pub held_bytes_count: Arc<AtomicUsize>,
    /// Signal that ends all incomplete answers when this instance stops.
    pub answer_cutoff: AnswerCutoff,
}

impl RelayState {
    /// The current view.
    #[must_use]
    pub fn view(&self) -> Arc<View> {
        self.view.load_full()
    }

    /// Locks the index of cached prompt parts. Hold the lock only briefly, never across an `await`.
    pub fn cache_index(&self) -> MutexGuard<'_, PartDirectory> {
        self.cache_index
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the peers' loads. Hold the lock only briefly, never across an `await`. Where both are
    /// needed, lock [`RelayState::cache_index`] first.
    pub fn peer_loads(&self) -> MutexGuard<'_, PeerLoads> {
        let peer_loads = self.peer_loads.lock();
        peer_loads.unwrap_or_else(PoisonError::into_inner)
    }
}

/// Who sends a call to this instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallSource {
    /// A caller.
    Caller,
    /// Another instance, which cannot reach the call's targets or may use no place there. Such a call is
    /// not passed on again.
    Instance,
}

/// Forwards calls to targets and their answers to callers. Clones share everything.
#[derive(Clone)]
pub struct Relay<Format> {
    pub(crate) inner: Arc<Inner<Format>>,
}

/// State shared by the clones of a relay.
pub(crate) struct Inner<Format> {
    pub(crate) settings: RelaySettings,
    pub(crate) header_format: Format,
    pub(crate) client: Client,
    /// Asks targets which process they are, on connections of its own.
    pub(crate) question_client: Client,
    pub(crate) peer_caller: PeerCaller,
    pub(crate) state: RelayState,
    pub(crate) retry_budgets: RetryBudgets,
    pub(crate) pool_bounds: PoolBounds,
    pub(crate) overload_controls: OverloadControls,
    pub(crate) unframed_pools: UnframedPools,
    pub(crate) answer_times: AnswerTimes,
    /// Start of the relay; times passed to `balance` are relative to it.
    pub(crate) origin: Instant,
    pub(crate) held_bytes: HeldBytes,
    pub(crate) log: EventLog,
    pub(crate) meters: Meters,
}

impl<Format> Inner<Format> {
    /// Counts targets that were passed over because of what they state.
    pub(crate) fn count_passed_over(&self, passed_over: &PassedOver) {
        for (obstacle, count) in passed_over.by_name() {
            self.meters
                .count_many("passed_over_targets", obstacle, count.into());
        }
    }
}

impl<Format> Relay<Format>
where
    Format: HeaderFormat,
{
    /// Creates a relay whose decisions depend on `state`.
    #[must_use]
    pub fn new(
        settings: RelaySettings,
        header_format: Format,
        client: Client,
        state: RelayState,
        log: EventLog,
        meters: Meters,
    ) -> Self {
        let total = Arc::clone(&state.held_bytes_count);
        let held_bytes = HeldBytes::new(settings.max_held_bytes, total);
        let retry_budgets = RetryBudgets::new(settings.retry_bounds);
        Self {
            inner: Arc::new(Inner {
                settings,
                header_format,
                question_client: client.with_own_connections(),
                peer_caller: PeerCaller::new(client.with_own_connections()),
                client,
                state,
                retry_budgets,
                pool_bounds: PoolBounds::default(),
                overload_controls: OverloadControls::default(),
                unframed_pools: UnframedPools::default(),
                answer_times: AnswerTimes::new(),
                origin: Instant::now(),
                held_bytes,
                log,
                meters,
            }),
        }
    }

    /// The current view.
    #[must_use]
    pub fn view(&self) -> Arc<View> {
        self.inner.state.view()
    }

    /// Answers one call. Dropping the future or the answer's body cancels the call at its target.
    pub async fn serve(
        &self,
        request: Request<Incoming>,
        source: CallSource,
    ) -> Answer<impl Stream<Item = Result<Frame<Bytes>, TruncatedAnswer>> + use<Format>> {
        let arrived = Instant::now();
        let (log, meters) = (self.inner.log.clone(), self.inner.meters.clone());
        let answer_times = self.inner.answer_times.clone();
        let answer_cutoff = self.inner.state.answer_cutoff.clone();
        let mut recorder =
            CallRecorder::new(log, meters, answer_times, answer_cutoff.clone(), arrived);
        recorder.line.is_forwarded = source == CallSource::Instance;
        let accepted = self.accept(&mut recorder, arrived, request, source).await;
        let mut active_call = match accepted {
            Ok(active_call) => active_call,
            Err(refusal) => return refuse(recorder, &refusal, source),
        };
        let answered = tokio::select! {
            biased;
            answered = active_call.answer(&mut recorder, source) => answered,
            () = answer_cutoff.triggered() => Err(Unanswered::Cut),
        };
        let answer = match answered {
            Ok(answer) => answer,
            Err(unanswered) => return refuse(recorder, &active_call.refusal(unanswered), source),
        };
        let mut headers = self.inner.header_format.caller_headers(&answer.headers);
        // Only an instance says this of a call, never a target.
        headers.remove(NOT_RUN);
        let status = answer.status;
        let hold = EventHold::new(self.inner.held_bytes.clone());
        recorder.record_first_byte();
        match answer.content {
            Content::Whole(body, evidence) => {
                recorder.end_whole(evidence, status.as_u16());
                let (body, eviction) = self.inner.held_bytes.hand_over(body);
                let mut answer = whole(status, headers, body);
                answer.extensions_mut().insert(eviction);
                answer
            }
            Content::Events(events) => {
                recorder.line.status = status.as_u16();
                let forwarder = StreamForwarder::new(active_call, *events, recorder);
                let eviction = hold.eviction();
                streamed(
                    status,
                    headers,
                    eviction,
                    Either::Left(frames(forwarder, hold)),
                )
            }
            Content::Forwarded(events) => {
                recorder.line.status = status.as_u16();
                let deadline = active_call.deadline();
                let forwarded = ForwardedStream::new(*events, recorder, answer_cutoff, deadline);
                let eviction = hold.eviction();
                streamed(
                    status,
                    headers,
                    eviction,
                    Either::Right(frames(forwarded, hold)),
                )
            }
        }
    }
}

/// Answers a call with a refusal and records it.
fn refuse<Events>(
    mut recorder: CallRecorder,
    refusal: &Refusal,
    source: CallSource,
) -> Answer<Events>
where
    Events: Stream<Item = Result<Frame<Bytes>, TruncatedAnswer>>,
{
    if let Some(kind) = refusal.homes_label() {
        recorder.count_homes_refusal(kind);
    }
    recorder.record_first_byte();
    recorder.end(
        refusal.outcome(),
        refusal.status().as_u16(),
        refusal.message(),
    );
    refused(refusal, source, &recorder.line.request_id)
}
