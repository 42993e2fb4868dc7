//! A call in progress: sends it to one target after another until it is answered or fails.

use {
    crate::{
        HeaderFormat, InFlightGuard, Reason, Refusal, Shutdown,
        admit::{Admitted, called_host},
        attempt::{AttemptOutcome, AttemptParams, TargetAnswer, attempt},
        body_memory::BodyPermit,
        boot_time,
        call_recorder::{CallRecorder, millis},
        pick::PickedTarget,
        quarantined_calls::part_keys,
        relay::Inner,
        target_feedback::record_limit,
    },
    balance::CallOutcome,
    bytes::Bytes,
    catalog::TargetId,
    http_body_util::Full,
    hyper::{
        Request,
        http::{request, uri::PathAndQuery},
    },
    parts::PartKey,
    quarantine::{CallIdentity, CallKey},
    routes::{PoolId, RetryPolicy},
    std::{
        sync::{
            Arc, OnceLock,
            atomic::{AtomicBool, Ordering},
        },
        time::{Duration, Instant},
    },
    target::{Reuse, StartTimeout},
    tokio::sync::watch,
};

/// Minimum time left with which a call is still sent to a target.
const MIN_TIME_LEFT: Duration = Duration::from_millis(10);
/// Maximum number of targets tried per call, including those that were unreachable or did not run
/// it.
const MAX_TRIED_TARGETS_COUNT: usize = 4;
/// Time reserved for switching to another target.
const FAILOVER_TIME: Duration = Duration::from_millis(200);
/// Fraction of the route's latency objective to wait for the first byte of a call that may run
/// again.
const ATTEMPT_TIMEOUT_FACTOR: f64 = 0.7;
/// Multiple of the latency objective to wait for the head, and then for the first event, of a
/// stream that may run again. It is larger because another target would have to process the prompt
/// from the start. Only a target that sends nothing for long is abandoned.
const STREAM_ATTEMPT_TIMEOUT_FACTOR: f64 = 2.5;
/// Minimum wait for a target before another one is preferred.
const MIN_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(20);
/// Time for which calls avoid a target that is silent before its answer.
const SILENCE_PAUSE: Duration = Duration::from_millis(200);
/// Retry delay for callers if no target is available.
const NO_TARGET_RETRY_AFTER: Duration = Duration::from_millis(400);
/// Retry delay for callers if a target refused the call without running it, for example because it
/// is at capacity.
const OVERLOADED_RETRY_AFTER: Duration = Duration::from_millis(250);

/// A call that is being served.
pub(crate) struct ActiveCall<Format> {
    pub(crate) inner: Arc<Inner<Format>>,
    /// Metadata of the call, with its route and client account.
    pub(crate) admitted: Admitted,
    pub(crate) head: request::Parts,
    body: Bytes,
    /// Memory reserved for the body, until the call has ended.
    _body_permit: BodyPermit,
    /// When the call reached the relay.
    arrived: Instant,
    /// Keys of the prompt's parts that could be at fault if a target crashes.
    pub(crate) part_keys: Vec<PartKey>,
    /// Key of the whole call, derived at its first use.
    call_key: OnceLock<CallKey>,
    /// Pool that was chosen for the call; empty if the route has no pool with a weight above 0.
    pub(crate) pool: PoolId,
    /// Targets that were tried for the call, including those that could not be reached.
    pub(crate) tried_targets: Vec<TargetId>,
    /// Number of targets that ran the call or may have run it.
    may_have_run_count: u32,
    /// Counts the call as in flight at the current target.
    in_flight: Option<InFlightGuard>,
    /// Whether a retry was taken from the budget for a silent target that is given up.
    has_reserved_retry: AtomicBool,
    /// See [`ActiveCall::sent_at`].
    sent_at: watch::Sender<Option<Instant>>,
}

/// Tells when a call was sent to its present target.
pub(crate) type SentAt = watch::Receiver<Option<Instant>>;

/// An attempt that may be gone on with.
#[derive(Debug)]
pub(crate) struct SuspendedAttempt {
    in_flight: Option<InFlightGuard>,
    tried_targets_count: usize,
}

impl SuspendedAttempt {
    /// Counts the call no longer as in flight at the target.
    pub(crate) fn stop_counting(&mut self) {
        self.in_flight = None;
    }
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
        admitted: Admitted,
        head: request::Parts,
        body: Bytes,
        body_permit: BodyPermit,
        arrived: Instant,
    ) -> Self {
        let pool = admitted.route.draw_pool(rand::random());
        let pool = pool.cloned().unwrap_or_default();
        let part_keys = part_keys(&admitted.call);
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
            tried_targets: Vec::new(),
            may_have_run_count: 0,
            in_flight: None,
            has_reserved_retry: AtomicBool::new(false),
            sent_at: watch::Sender::default(),
        }
    }

    /// Key of the whole call, which is the same if it comes again.
    pub(crate) fn call_key(&self) -> CallKey {
        *self.call_key.get_or_init(|| {
            let uri = &self.head.uri;
            let path = uri
                .path_and_query()
                .map_or(uri.path(), PathAndQuery::as_str);
            let account = self.admitted.account.as_ref();
            let identity = CallIdentity {
                method: self.head.method.as_str(),
                host: called_host(&self.head),
                path,
                account: account.map_or("", |account| account.name.as_str()),
                parts: &self.part_keys,
                body: &self.body,
            };
            identity.key()
        })
    }

    /// Enters in the call's log line what identifies it if it comes again.
    pub(crate) fn record_identity(&self, recorder: &mut CallRecorder) {
        recorder.record_identity(&self.admitted.call, self.call_key());
    }

    /// Time limit of the call: the shorter of the caller's and the route's.
    pub(crate) fn time_limit(&self) -> Duration {
        let route = self.admitted.route.time_limit;
        let caller = self.admitted.call.time_limit;
        caller.map_or(route, |caller| caller.min(route))
    }

    /// Time left until the time limit.
    pub(crate) fn time_left(&self) -> Duration {
        self.time_limit().saturating_sub(self.arrived.elapsed())
    }

    /// Refusal for a call that the shutdown ended before it was answered: [`Reason::Cut`] if it may
    /// have run, [`Reason::ShuttingDown`] otherwise.
    pub(crate) fn cut_refusal(&self) -> Refusal {
        let may_have_run = self.in_flight.is_some() || self.may_have_run_count > 0;
        let reason = if may_have_run {
            Reason::Cut
        } else {
            Reason::ShuttingDown
        };
        reason.into()
    }

    /// Refuses the call if the instance is shutting down and the call is not expected to finish by
    /// the answer deadline.
    fn check_shutdown(&self, recorder: &mut CallRecorder) -> Result<(), Refusal> {
        let Some(shutdown) = self.inner.state.view().shutdown else {
            return Ok(());
        };
        let now = boot_time();
        let expected = self.expected_duration(&shutdown, now);
        recorder.line.expected_ms = millis(expected);
        if shutdown.can_finish(expected, now) {
            Ok(())
        } else {
            Err(shutdown.refusal(now, rand::random()))
        }
    }

    /// Whether another target that starts the call after `wait` plus the failover time is expected
    /// to finish by the shutdown's answer deadline; true if the instance is not shutting down.
    pub(crate) fn can_finish_elsewhere_after(&self, wait: Duration) -> bool {
        self.inner.state.view().shutdown.is_none_or(|shutdown| {
            let start = boot_time() + wait + FAILOVER_TIME;
            shutdown.can_finish(self.expected_duration(&shutdown, start), start)
        })
    }

    /// Expected duration of the call if it starts at `start`: the time within which 80 % of the
    /// route's recent calls ended, or twice the longest recent one if the shutdown is announced by
    /// then. At most the call's time left at present, and all of it if there are too few recent
    /// calls.
    fn expected_duration(&self, shutdown: &Shutdown, start: Duration) -> Duration {
        let route = &self.admitted.route.name;
        let times = &self.inner.answer_times;
        let observed = if shutdown.is_announced(start) {
            times.upper_bound(route)
        } else {
            times.typical(route)
        };
        let time_left = self.time_left();
        observed.map_or(time_left, |observed| observed.min(time_left))
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

    /// Whether another target may take the call from one that is silent.
    pub(crate) fn can_move(&self) -> bool {
        self.can_run_again()
            && self.time_left() > MIN_TIME_LEFT
            && self.can_finish_elsewhere_after(Duration::ZERO)
            && self.tried_targets.len() < MAX_TRIED_TARGETS_COUNT
            && !self.may_have_crashed_target()
            && self.blocking_suspect().is_none()
            && self.can_choose_target()
    }

    /// Has calls avoid the present target for a while.
    pub(crate) fn pause_target(&self, pause: Duration) {
        if let Some(in_flight) = &self.in_flight {
            let until = self.inner.origin.elapsed() + pause;
            in_flight.call_stats().pause(until);
        }
    }

    /// When the call was sent to its present target; `None` before that, and once the target has
    /// refused it.
    pub(crate) fn sent_at(&self) -> SentAt {
        self.sent_at.subscribe()
    }

    /// Sets the present attempt aside, so that the call can be sent to another target meanwhile.
    pub(crate) fn suspend_attempt(&mut self) -> SuspendedAttempt {
        self.sent_at.send_replace(None);
        SuspendedAttempt {
            in_flight: self.in_flight.take(),
            tried_targets_count: self.tried_targets.len(),
        }
    }

    /// Goes on with an attempt that was set aside, after no other target took the call.
    pub(crate) fn restore_attempt(&mut self, attempt: SuspendedAttempt) {
        self.in_flight = attempt.in_flight;
        self.tried_targets.truncate(attempt.tried_targets_count);
    }

    /// Goes on with an attempt that was set aside, after an attempt at another target was dropped.
    pub(crate) fn cancel_attempt(&mut self, attempt: SuspendedAttempt) {
        if self.sent_at.borrow().is_some() {
            self.may_have_run_count += 1;
        }
        self.restore_attempt(attempt);
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
    ) -> Result<TargetAnswer, Refusal> {
        if last_event_id.is_none() {
            let instances_count = self.instances_count();
            self.inner
                .retry_budgets
                .record_call(&self.pool, instances_count);
        }
        let mut last_refusal = Refusal::new(Reason::NoTarget).retry_after(NO_TARGET_RETRY_AFTER);
        let mut error_answer = None;
        let mut suspects = Vec::new();
        while self.tried_targets.len() < MAX_TRIED_TARGETS_COUNT && self.time_left() > MIN_TIME_LEFT
        {
            // For a resumed stream, the stream forwarder has checked the time once, before this
            // loop.
            if last_event_id.is_none()
                && let Err(refusal) = self.check_shutdown(recorder)
            {
                last_refusal = refusal;
                break;
            }
            if let Err(refusal) = self.check_quarantine(recorder) {
                last_refusal = refusal;
                break;
            }
            let picked = match self.choose_target() {
                Ok(picked) => picked,
                Err(refusal) => {
                    last_refusal = refusal.unwrap_or(last_refusal);
                    break;
                }
            };
            let target = &picked.target.id;
            recorder.begin_attempt(&picked);
            self.tried_targets.push(target.clone());
            let sent_at = boot_time();
            let outcome = self.send(&picked, last_event_id, recorder).await;
            recorder.end_attempt(describe_outcome(&outcome));
            if let Some(metadata) = outcome.metadata() {
                recorder.record_limit(metadata.limit.as_ref());
                record_limit(&picked, metadata);
            }
            self.record_attempt(&picked, &outcome);
            if matches!(outcome, AttemptOutcome::Unknown { .. }) {
                self.record_identity(recorder);
            }
            let (refusal, counts_as_retry) = match outcome {
                AttemptOutcome::Answered(answer) => {
                    if !self.should_try_another(&answer) || !self.try_retry() {
                        self.record_answer(&picked, &answer, &suspects);
                        return Ok(answer);
                    }
                    suspects.push(picked);
                    error_answer = Some(answer);
                    continue;
                }
                AttemptOutcome::NotSent(_) => (last_refusal, false),
                AttemptOutcome::NotRun(..) => {
                    let overloaded = Refusal::new(Reason::Overloaded);
                    (overloaded.retry_after(OVERLOADED_RETRY_AFTER), true)
                }
                AttemptOutcome::Unknown { disconnected, .. } => {
                    if disconnected && last_event_id.is_none() {
                        self.report_disconnect(&picked, sent_at);
                    }
                    if !self.can_run_again() || self.may_have_crashed_target() {
                        break;
                    }
                    (last_refusal, true)
                }
            };
            last_refusal = refusal;
            let has_retry = self.has_reserved_retry.swap(false, Ordering::Relaxed);
            if counts_as_retry && !has_retry && !self.try_retry() {
                break;
            }
        }
        if let Some(error_answer) = error_answer {
            self.record_suspects(&suspects, CallOutcome::Failed);
            return Ok(error_answer);
        }
        if self.may_have_run_count > 0 {
            return Err(self.unknown_outcome_refusal());
        }
        if self.time_left() <= MIN_TIME_LEFT {
            last_refusal = Reason::TooLate.into();
        }
        Err(last_refusal)
    }

    /// Sends the call to one target and reads its answer, or the first event of its stream.
    ///
    /// Plans the cache transfers, which reserves time on the links of stores, and counts the call
    /// as in flight. Afterwards updates [`ActiveCall::may_have_run_count`] and the target's start
    /// delay. For a prompt that is not streamed, the recorded start delay spans the whole answer.
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
        self.in_flight = Some(target.call_stats.start_call());
        self.sent_at.send_replace(None);
        let time_left = self.time_left();
        let start_timeout = AttemptTimeout { call: self };
        let params = AttemptParams {
            address: target.address,
            id: &self.admitted.call.id,
            reuse: Reuse::Allowed,
            start_timeout: &start_timeout,
            deadline: sent + time_left,
            answer_memory: &self.inner.answer_memory,
            stream: self.retry_policy().is_stream(),
            is_resumed: last_event_id.or(self.admitted.call.last_event_id).is_some(),
        };
        let outcome = attempt(
            &self.inner.client,
            &self.inner.header_format,
            request,
            params,
        )
        .await;
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

    /// Name of the client account, if its cached parts are kept apart from those of others.
    pub(crate) fn isolated_account(&self) -> Option<&str> {
        let account = self.admitted.account.as_ref();
        let account = account.filter(|account| account.isolated);
        account.map(|account| account.name.as_str())
    }

    /// Time to wait for the head of the answer, and then again for the first event of a stream,
    /// before another target is preferred. All the time left if no other target may run the call or
    /// could finish it before a shutdown.
    fn attempt_timeout(&self) -> Duration {
        let is_last = self.may_have_run_count + 1 >= self.admitted.route.max_attempts;
        if is_last || !self.retry_policy().may_run_again() {
            return self.time_left();
        }
        let factor = if self.retry_policy().is_stream() {
            STREAM_ATTEMPT_TIMEOUT_FACTOR
        } else {
            ATTEMPT_TIMEOUT_FACTOR
        };
        let latency_objective = self.admitted.route.latency_objective;
        let attempt_timeout = latency_objective.mul_f64(factor).max(MIN_ATTEMPT_TIMEOUT);
        if self.can_finish_elsewhere_after(attempt_timeout) {
            attempt_timeout
        } else {
            self.time_left()
        }
    }

    /// Whether a silent target is given up for another one. If so, the retry is taken from the
    /// budget. A target may be silent for a moment and then answer, so it is awaited if no other one
    /// may take the call.
    fn gives_up_silent_target(&self) -> bool {
        let gives_up = self.can_move() && self.try_retry();
        self.has_reserved_retry.store(gives_up, Ordering::Relaxed);
        if !gives_up {
            self.pause_target(SILENCE_PAUSE);
        }
        gives_up
    }

    /// Whether another target should be tried because this one answered with an error status.
    fn should_try_another(&self, answer: &TargetAnswer) -> bool {
        answer.status.is_server_error()
            && self.can_run_again()
            && self.time_left() > MIN_TIME_LEFT
            && self.can_finish_elsewhere_after(Duration::ZERO)
    }

    /// Refusal for a call that may have run but has no answer.
    fn unknown_outcome_refusal(&self) -> Refusal {
        let reason = if self.time_left() <= MIN_TIME_LEFT {
            Reason::TimedOut
        } else {
            Reason::TargetFailed
        };
        Refusal::new(reason)
    }
}

/// Timeout for the start of an answer to a call.
struct AttemptTimeout<'call, Format> {
    call: &'call ActiveCall<Format>,
}

impl<Format> StartTimeout for AttemptTimeout<'_, Format>
where
    Format: HeaderFormat,
{
    fn start(&self) {
        self.call.sent_at.send_replace(Some(Instant::now()));
    }

    fn duration(&self) -> Duration {
        self.call.attempt_timeout().min(self.call.time_left())
    }

    fn gives_up(&self) -> bool {
        self.call.time_left().is_zero() || self.call.gives_up_silent_target()
    }
}

/// Text for the log that describes the outcome of an attempt.
pub(crate) fn describe_outcome(outcome: &AttemptOutcome<TargetAnswer>) -> String {
    match outcome {
        AttemptOutcome::Answered(answer) => format!("answered {}", answer.status.as_u16()),
        AttemptOutcome::NotSent(reason) => format!("not sent: {reason}"),
        AttemptOutcome::NotRun(status, _) => format!("not run: {}", status.as_u16()),
        AttemptOutcome::Unknown { reason, .. } => format!("unknown: {reason}"),
    }
}
