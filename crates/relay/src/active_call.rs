//! A call in progress: what it is, who has it, and what it may still do.

use {
    crate::{
        HeaderFormat, InFlightGuard, LostAnswer, NotSent, View,
        accept::AcceptedCall,
        admit::{Admitted, called_host},
        attempt::TargetAnswer,
        call_holder::CallHolder,
        call_origin::CallOrigin,
        call_recorder::CallRecorder,
        held_bytes::HeldPermit,
        quarantined_calls::part_keys,
        reach::Reach,
        refusal::Unanswered,
        registered_process::StreamProcess,
        relay::Inner,
        retry_budgets::RetryNeed,
        salt::CacheScope,
    },
    bytes::Bytes,
    catalog::TargetId,
    hyper::http::request,
    parts::PartKey,
    quarantine::CallKey,
    routes::{Homes, PoolId, RetryPolicy},
    std::{
        sync::{Arc, OnceLock, atomic::AtomicBool},
        time::{Duration, Instant},
    },
    target::StreamPosition,
    tokio::sync::watch,
};

/// Minimum time left with which a call is still sent to a target.
pub(crate) const MIN_TIME_LEFT: Duration = Duration::from_millis(10);

/// A call that is being served.
pub(crate) struct ActiveCall<Format> {
    pub(crate) inner: Arc<Inner<Format>>,
    /// Metadata of the call, with its route and client account.
    pub(crate) admitted: Admitted,
    pub(crate) head: request::Parts,
    pub(crate) body: Bytes,
    /// Memory reserved for the body, until the call has ended.
    _body_permit: HeldPermit,
    /// When the call reached the relay.
    arrived: Instant,
    /// Keys of the prompt's parts that could be at fault if a target crashes.
    pub(crate) part_keys: Vec<PartKey>,
    /// Key of the whole call, derived at its first use.
    pub(crate) call_key: OnceLock<CallKey>,
    /// Pool that was chosen for the call; empty if the route has no pool with a weight above 0.
    pub(crate) pool: PoolId,
    /// Where the stream of the call began.
    pub(crate) origin: CallOrigin,
    /// The process that began its stream, if that was with this call.
    pub(crate) stream_process: Option<StreamProcess<Format>>,
    /// Targets that were tried for the call, including those that could not be reached.
    pub(crate) tried_targets: Vec<TargetId>,
    /// Who has the call.
    pub(crate) holder: CallHolder,
    /// Number of targets that ran the call or may have run it.
    pub(crate) may_have_run_count: u32,
    /// Whether another instance may reach the call's targets if this one does not.
    pub(crate) has_other_way: bool,
    /// Whether this instance has no free place at targets that bear few refusals.
    pub(crate) has_no_place: bool,
    /// Number of targets tried to which no connection could be opened.
    pub(crate) unreachable_count: usize,
    /// Counts the call as in flight at the current target.
    pub(crate) in_flight: Option<InFlightGuard>,
    /// Whether a retry was taken from the budget for a silent target that is given up.
    pub(crate) has_reserved_retry: AtomicBool,
    /// See [`ActiveCall::sent_at`].
    pub(crate) sent_at: watch::Sender<Option<Instant>>,
    /// Whether its stream has ended, as far as its present answer shows.
    pub(crate) may_be_over: bool,
}

impl<Format> ActiveCall<Format>
where
    Format: HeaderFormat,
{
    /// Creates a call that was tried at no target yet, and draws its pool by the route's weights.
    /// If no pool has a weight above 0, the pool id is empty and [`ActiveCall::run`] finds no
    /// target.
    pub(crate) fn new(
        inner: Arc<Inner<Format>>,
        accepted: AcceptedCall,
        not_sent: NotSent,
        arrived: Instant,
    ) -> Self {
        let AcceptedCall {
            admitted,
            head,
            body,
            body_permit,
        } = accepted;
        let pool = admitted.route.draw_pool(rand::random());
        let pool = pool.cloned().unwrap_or_default();
        let part_keys = part_keys(&admitted.call);
        let origin = CallOrigin::new(inner.state.stream_origins.clone());
        Self {
            inner,
            admitted,
            head,
            body,
            _body_permit: body_permit,
            arrived,
            part_keys,
            call_key: OnceLock::new(),
            pool,
            origin,
            stream_process: None,
            tried_targets: Vec::new(),
            holder: not_sent.into(),
            may_have_run_count: 0,
            has_other_way: false,
            has_no_place: false,
            unreachable_count: 0,
            in_flight: None,
            has_reserved_retry: AtomicBool::new(false),
            sent_at: watch::Sender::default(),
            may_be_over: false,
        }
    }

    /// Time limit of the call: the shorter of the caller's and the route's.
    pub(crate) fn time_limit(&self) -> Duration {
        self.admitted.time_limit()
    }

    /// Time left until the time limit.
    pub(crate) fn time_left(&self) -> Duration {
        self.time_limit().saturating_sub(self.arrived.elapsed())
    }

    /// Retry policy of the call's route.
    pub(crate) fn retry_policy(&self) -> RetryPolicy {
        self.admitted.route.retry_policy
    }

    /// Whether another target may run the call although one may have run it already.
    pub(crate) fn can_run_again(&self) -> bool {
        self.retry_policy().may_run_again()
            && self.may_have_run_count < self.admitted.route.max_attempts
    }

    /// Where the stream of the call goes on: after `last_event_id` within one answer, otherwise after
    /// the last event that its caller has. Streams of other routes always begin anew.
    pub(crate) fn stream_position(&self, last_event_id: Option<u64>) -> StreamPosition {
        if self.retry_policy() != RetryPolicy::ResumableStream {
            return StreamPosition::default();
        }
        let position = StreamPosition::after(last_event_id.or(self.admitted.call.last_event_id));
        if self.may_be_over {
            position.that_may_be_over()
        } else {
            position
        }
    }

    /// Pause between events that still meets the route's objective. It is not a timeout: the stream
    /// forwarder waits several times as long.
    pub(crate) fn max_event_gap(&self) -> Option<Duration> {
        self.admitted.route.max_event_gap
    }

    /// Number of ready instances, among which the retry budget is divided.
    pub(crate) fn instances_count(&self) -> u32 {
        self.inner.state.view().instances_count
    }

    /// Takes one retry out of the pool's retry budget. Returns whether the budget allowed it.
    pub(crate) fn try_retry(&self, need: RetryNeed) -> bool {
        let now = self.inner.origin.elapsed();
        let instances_count = self.instances_count();
        self.inner
            .retry_budgets
            .try_retry(&self.pool, instances_count, need, now)
    }

    /// When the time limit of the call passes.
    pub(crate) fn deadline(&self) -> Instant {
        self.arrived + self.time_limit()
    }

    /// Has targets answer the call. A call that resumes a stream goes to the pool and software
    /// version that began it.
    pub(crate) async fn answer_here(
        &mut self,
        recorder: &mut CallRecorder,
    ) -> Result<TargetAnswer, Unanswered> {
        self.find_origin(recorder).await?;
        let answer = self.run(recorder, None).await?;
        Ok(self.replace_unproven(answer, recorder).await)
    }

    /// Where the call may go: within its homes by the configuration that admitted it and by the one
    /// that is in force now, which may have others.
    pub(crate) fn reach<'view>(&'view self, view: &'view View) -> Reach<'view> {
        Reach {
            homes: self.homes(view),
            regions: &self.inner.settings.regions,
            view,
        }
    }

    /// Homes of the call.
    fn homes(&self, view: &View) -> Homes {
        let admitted = &self.admitted;
        let homes = admitted.homes();
        let table = view.route_table.as_ref();
        let Some(table) = table.filter(|table| !Arc::ptr_eq(table, &admitted.table)) else {
            return homes;
        };
        let route = table.route(called_host(&self.head), self.head.uri.path());
        let accounts = table.config().accounts.iter().flatten();
        let account = admitted.account.as_ref();
        let account =
            account.and_then(|account| accounts.clone().find(|it| it.name == account.name));
        let current = route.map(|route| Homes::of_call(route, account));
        current.map_or(homes.clone(), |current| homes.both(&current))
    }

    /// Who may use the prompt's cached parts, by the configuration that is in force now: the one that
    /// admitted the call may have isolated other accounts.
    pub(crate) fn cache_scope(&self, view: &View) -> CacheScope {
        if self.admitted.call.prompt.is_none() {
            return CacheScope::default();
        }
        let table = view.route_table.as_ref().unwrap_or(&self.admitted.table);
        CacheScope::new(table, self.admitted.account.as_ref(), &self.homes(view))
    }

    /// Why a call that may have run has no answer.
    pub(crate) fn lost_answer(&self) -> LostAnswer {
        if self.time_left() <= MIN_TIME_LEFT {
            LostAnswer::TimedOut
        } else {
            LostAnswer::TargetFailed
        }
    }
}
