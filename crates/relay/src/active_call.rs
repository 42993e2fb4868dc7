//! A call in progress: sends it to one target after another until it is answered or fails.

use {
    crate::{
        Declined, HeaderFormat, InFlightGuard, LostAnswer, NotSent, Reason, ReplyMetadata, View,
        accept::AcceptedCall,
        admit::Admitted,
        attempt::{AttemptOutcome, AttemptParams, Content, TargetAnswer, attempt},
        body_memory::BodyPermit,
        boot_time,
        call_holder::CallHolder,
        call_origin::CallOrigin,
        call_recorder::CallRecorder,
        observed_answer::ObservedAnswer,
        pick::PickedTarget,
        quarantined_calls::part_keys,
        refusal::{NO_TARGET_RETRY_AFTER, Unanswered},
        relay::Inner,
        salt::CacheScope,
        silent_target::AttemptTimeout,
    },
    balance::CallOutcome,
    bytes::Bytes,
    catalog::TargetId,
    http_body_util::Full,
    hyper::{Request, http::request},
    parts::PartKey,
    quarantine::CallKey,
    routes::{PoolId, RetryPolicy},
    std::{
        sync::{
            Arc, OnceLock,
            atomic::{AtomicBool, Ordering},
        },
        time::{Duration, Instant},
    },
    target::{Reply, Reuse, StreamPosition},
    tokio::sync::watch,
};

/// Minimum time left with which a call is still sent to a target.
pub(crate) const MIN_TIME_LEFT: Duration = Duration::from_millis(10);
/// Maximum number of targets tried per call, including those that were unreachable or did not run
/// it.
pub(crate) const MAX_TRIED_TARGETS_COUNT: usize = 4;
/// A call that is being served.
pub(crate) struct ActiveCall<Format> {
    pub(crate) inner: Arc<Inner<Format>>,
    /// Metadata of the call, with its route and client account.
    pub(crate) admitted: Admitted,
    pub(crate) head: request::Parts,
    pub(crate) body: Bytes,
    /// Memory reserved for the body, until the call has ended.
    _body_permit: BodyPermit,
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
            tried_targets: Vec::new(),
            holder: not_sent.into(),
            may_have_run_count: 0,
            has_other_way: false,
            has_no_place: false,
            unreachable_count: 0,
            in_flight: None,
            has_reserved_retry: AtomicBool::new(false),
            sent_at: watch::Sender::default(),
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
        StreamPosition::after(last_event_id.or(self.admitted.call.last_event_id))
    }

    /// Pause between events that still meets the route's objective. It is not a timeout: the stream
    /// forwarder waits several times as long.
    pub(crate) fn max_event_gap(&self) -> Option<Duration> {
        self.admitted.route.max_event_gap
    }

    /// Number of ready instances, among which the retry budget is divided.
    fn instances_count(&self) -> u32 {
        self.inner.state.view().instances_count
    }

    /// Takes one retry out of the pool's retry budget. Returns whether the budget allowed it.
    pub(crate) fn try_retry(&self) -> bool {
        let now = self.inner.origin.elapsed();
        let instances_count = self.instances_count();
        self.inner
            .retry_budgets
            .try_retry(&self.pool, instances_count, now)
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
        let view = self.inner.state.view();
        if let Some(pool) = self.origin.find(&self.admitted, &view).await? {
            self.pool = pool;
        }
        let origin_version = self.origin.software_version().unwrap_or_default();
        origin_version.clone_into(&mut recorder.line.origin_version);
        self.run(recorder, None).await
    }

    /// Sends the call to one target after another until one answers. With `last_event_id`, resumes
    /// a stream after that event.
    ///
    /// Another target is tried only if the previous one did not run the call or if the call may run
    /// again, only while time is left (also until a shutdown), and only while fewer than
    /// [`MAX_TRIED_TARGETS_COUNT`] were tried. Each retry takes one from the pool's retry budget,
    /// unless no byte was sent to the previous target. A call that crashes targets, or with a part that
    /// does, is refused, or given up if it has crashed one. If targets answered with a 5xx status and no
    /// later one gives a final answer, the last 5xx answer is returned.
    pub(crate) async fn run(
        &mut self,
        recorder: &mut CallRecorder,
        last_event_id: Option<u64>,
    ) -> Result<TargetAnswer, Unanswered> {
        let mut last_declined = Declined::new(Reason::NoTarget).retry_after(NO_TARGET_RETRY_AFTER);
        let mut error_answer = None;
        let mut suspects = Vec::new();
        while self.tried_targets.len() < MAX_TRIED_TARGETS_COUNT && self.time_left() > MIN_TIME_LEFT
        {
            // For a resumed stream, the stream forwarder has checked the time once, before this
            // loop.
            if last_event_id.is_none()
                && let Err(declined) = self.check_shutdown(recorder)
            {
                last_declined = declined;
                break;
            }
            if let Err(declined) = self.check_quarantine(recorder) {
                last_declined = declined;
                break;
            }
            if self.has_reached_no_target() && self.is_cut_off() {
                break;
            }
            let picked = match self.choose_target() {
                Ok(picked) => picked,
                Err(no_target) => {
                    self.has_no_place = no_target.has_no_place;
                    last_declined = no_target.declined.unwrap_or(last_declined);
                    break;
                }
            };
            // A call that is passed on without an attempt counts where it is attempted.
            if last_event_id.is_none() && self.tried_targets.is_empty() {
                let instances_count = self.instances_count();
                self.inner
                    .retry_budgets
                    .record_call(&self.pool, instances_count);
            }
            let target = &picked.target.id;
            recorder.begin_attempt(&picked);
            self.tried_targets.push(target.clone());
            let sent_at = boot_time();
            let outcome = self.send(&picked, last_event_id, recorder).await;
            recorder.end_attempt(describe_outcome(&outcome));
            self.record_attempt(&picked, &outcome);
            if matches!(outcome, AttemptOutcome::NotSent(..)) {
                self.unreachable_count += 1;
            }
            if matches!(outcome, AttemptOutcome::Unknown { .. }) {
                self.record_identity(recorder);
            }
            let (declined, counts_as_retry) = match outcome {
                AttemptOutcome::Answered(answer) => {
                    if !self.should_try_another(&answer) || !self.try_retry() {
                        self.record_answer(&picked, &answer, &suspects);
                        self.record_origin(&picked, &answer);
                        return Ok(answer);
                    }
                    suspects.push(picked);
                    error_answer = Some(answer);
                    continue;
                }
                AttemptOutcome::NotSent(_, not_run) => {
                    self.holder.take_back(not_run);
                    (last_declined, false)
                }
                AttemptOutcome::NotRun(_, _, not_run) => {
                    self.holder.take_back(not_run);
                    (self.overloaded(), true)
                }
                AttemptOutcome::Unknown { disconnected, .. } => {
                    if disconnected && last_event_id.is_none() {
                        self.report_disconnect(&picked, sent_at);
                    }
                    if !self.can_run_again() || self.may_have_crashed_target() {
                        break;
                    }
                    (last_declined, true)
                }
            };
            last_declined = declined;
            let has_retry = self.has_reserved_retry.swap(false, Ordering::Relaxed);
            if counts_as_retry && !has_retry && !self.try_retry() {
                break;
            }
        }
        if let Some(error_answer) = error_answer {
            self.record_suspects(&suspects, CallOutcome::Failed);
            return Ok(error_answer);
        }
        if !self.holder.is_nobody() {
            return Err(Unanswered::Lost(self.lost_answer()));
        }
        if self.time_left() <= MIN_TIME_LEFT {
            last_declined = Reason::TooLate.into();
        }
        Err(last_declined.into())
    }

    /// Sends the call to one target and reads its answer, or the first event of its stream.
    ///
    /// Plans the cache transfers, which reserves time on the links of stores. Afterwards updates
    /// [`ActiveCall::may_have_run_count`] and the target's start delay. For a prompt that is not
    /// streamed, the recorded start delay spans the whole answer.
    async fn send(
        &mut self,
        picked: &PickedTarget,
        last_event_id: Option<u64>,
        recorder: &mut CallRecorder,
    ) -> AttemptOutcome<TargetAnswer> {
        let target = &picked.target;
        let plan = self.plan_part_transfers(picked, recorder);
        let metadata = self.outbound_metadata(picked, last_event_id, &plan);
        let sent = Instant::now();
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = self.head.uri.clone();
        *request.headers_mut() = self
            .inner
            .header_format
            .target_headers(&self.head.headers, &metadata);
        self.sent_at.send_replace(None);
        let handed_over = self.holder.hand_to_target();
        let time_left = self.time_left();
        let start_timeout = AttemptTimeout { call: self };
        let observed = OnceLock::new();
        let observe = |reply: &Reply, metadata: &ReplyMetadata| {
            self.observe_answer(picked, reply.status(), metadata);
            let _ = observed.set(ObservedAnswer::new(reply, metadata));
        };
        let params = AttemptParams {
            target,
            health_path: self.health_path(),
            id: &self.admitted.call.id,
            reuse: Reuse::Allowed,
            start_timeout: &start_timeout,
            deadline: sent + time_left,
            answer_memory: &self.inner.answer_memory,
            stream: self.retry_policy().is_stream(),
            position: self.stream_position(last_event_id),
            observe,
        };
        let outcome = attempt(
            &self.inner.client,
            &self.inner.header_format,
            request,
            params,
            handed_over,
        )
        .await;
        if let Some(observed) = observed.get() {
            recorder.record_observed(observed);
        }
        if let AttemptOutcome::Unknown {
            turned_away: Some(turned_away),
            ..
        } = &outcome
        {
            recorder.count_turned_away(*turned_away);
        }
        if matches!(
            outcome,
            AttemptOutcome::Answered(_) | AttemptOutcome::Unknown { .. }
        ) {
            self.may_have_run_count += 1;
        } else {
            self.sent_at.send_replace(None);
        }
        let has_prompt = self.admitted.call.prompt.is_some();
        if has_prompt
            && matches!(
                outcome,
                AttemptOutcome::Answered(_) | AttemptOutcome::Unknown { .. }
            )
        {
            // An attempt without an answer shows that the start takes at least this long.
            let now = self.inner.origin.elapsed();
            target.call_stats.record_start_delay(sent.elapsed(), now);
        }
        if let AttemptOutcome::Answered(answer) = &outcome
            && answer.has_begun()
        {
            self.record_answered();
        }
        if has_prompt && matches!(outcome, AttemptOutcome::Answered(_)) {
            let mut cache_index = self.inner.state.cache_index();
            cache_index.record_first_event(&plan, sent.elapsed(), boot_time());
        }
        if !matches!(outcome, AttemptOutcome::Answered(_)) {
            self.in_flight = None;
        }
        outcome
    }

    /// Path of the health check of the call's pool; empty if there is none.
    fn health_path(&self) -> &str {
        let pool = self.admitted.table.config().pools.get(&self.pool);
        pool.map_or("", |pool| pool.health_path.as_str())
    }

    /// Who may use the prompt's cached parts, by the configuration that is in force now: the one that
    /// admitted the call may have isolated other accounts.
    pub(crate) fn cache_scope(&self, view: &View) -> CacheScope {
        if self.admitted.call.prompt.is_none() {
            return CacheScope::Everyone;
        }
        let table = view.route_table.as_ref().unwrap_or(&self.admitted.table);
        CacheScope::new(table, self.admitted.account.as_ref())
    }

    /// Records where the stream of the call began, if an event of it has arrived.
    fn record_origin(&mut self, picked: &PickedTarget, answer: &TargetAnswer) {
        if !matches!(answer.content, Content::Events(_)) || !answer.has_begun() {
            return;
        }
        let time_limit = self.admitted.caller_time_limit();
        let software_version = &picked.target.software_version;
        self.origin
            .record(&self.admitted, &self.pool, software_version, time_limit);
    }

    /// Whether another target should be tried because this one answered with an error status.
    fn should_try_another(&self, answer: &TargetAnswer) -> bool {
        answer.status.is_server_error()
            && self.can_run_again()
            && self.time_left() > MIN_TIME_LEFT
            && self.can_finish_elsewhere_after(Duration::ZERO)
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

/// Text for the log that describes the outcome of an attempt.
pub(crate) fn describe_outcome(outcome: &AttemptOutcome<TargetAnswer>) -> String {
    match outcome {
        AttemptOutcome::Answered(answer) => format!("answered {}", answer.status.as_u16()),
        AttemptOutcome::NotSent(reason, _) => format!("not sent: {reason}"),
        AttemptOutcome::NotRun(status, ..) => format!("not run: {}", status.as_u16()),
        AttemptOutcome::Unknown { reason, .. } => format!("unknown: {reason}"),
    }
}
