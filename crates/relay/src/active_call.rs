//! A call's way from target to target, until one has answered it or it is given up.

use {
    crate::{
        HeaderFormat, Reason, Refusal, Shutdown,
        admit::Admitted,
        attempt::{AttemptOutcome, AttemptParams, TargetAnswer, attempt},
        boot_time,
        call_recorder::{CallRecorder, millis},
        pick::{PickContext, PickedTarget, pick},
        relay::Inner,
        view::InFlightGuard,
    },
    balance::Outcome,
    bytes::Bytes,
    catalog::TargetId,
    http_body_util::Full,
    hyper::{Request, http::request},
    routes::{PoolId, RetryPolicy},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    target::Reuse,
    tokio::sync::OwnedSemaphorePermit,
};

/// Least time for which a call is still sent to a target.
const MIN_TIME_LEFT: Duration = Duration::from_millis(10);
/// Most targets that a call is sent to when those before did not run it.
const MAX_SENDS_COUNT: usize = 4;
/// Time that it may take to turn from one target to the next.
const FAILOVER_TIME: Duration = Duration::from_millis(200);
/// Share of the objective after which a call that may run again is tried elsewhere.
const ATTEMPT_TIMEOUT_FACTOR: f64 = 0.7;
/// The same for the first event of a stream. A target that is still reading the prompt would have to
/// be left for one that begins anew, so only silence counts.
const STREAM_ATTEMPT_TIMEOUT_FACTOR: f64 = 2.5;
/// When to come back if no target can be used.
const NO_TARGET_RETRY_AFTER: Duration = Duration::from_millis(400);
/// When to come back if all targets that were asked are full.
const OVERLOADED_RETRY_AFTER: Duration = Duration::from_millis(250);

/// A call that is being served.
pub(crate) struct ActiveCall<Format> {
    pub(crate) inner: Arc<Inner<Format>>,
    pub(crate) admitted: Admitted,
    head: request::Parts,
    body: Bytes,
    /// Room for the body.
    _body_permit: OwnedSemaphorePermit,
    arrived: Instant,
    pool: PoolId,
    tried_targets: Vec<TargetId>,
    may_have_run_count: u32,
    in_flight: Option<InFlightGuard>,
}

impl<Format> ActiveCall<Format>
where
    Format: HeaderFormat,
{
    pub(crate) fn new(
        inner: Arc<Inner<Format>>,
        admitted: Admitted,
        head: request::Parts,
        body: Bytes,
        body_permit: OwnedSemaphorePermit,
        arrived: Instant,
    ) -> Self {
        let pool = admitted.route.draw_pool(rand::random());
        let pool = pool.cloned().unwrap_or_default();
        Self {
            inner,
            admitted,
            head,
            body,
            _body_permit: body_permit,
            arrived,
            pool,
            tried_targets: Vec::new(),
            may_have_run_count: 0,
            in_flight: None,
        }
    }

    /// Time that caller and route leave for the call.
    pub(crate) fn time_limit(&self) -> Duration {
        let route = self.admitted.route.time_limit;
        let caller = self.admitted.call.time_limit;
        caller.map_or(route, |caller| caller.min(route))
    }

    /// Time that is left of it.
    pub(crate) fn time_left(&self) -> Duration {
        self.time_limit().saturating_sub(self.arrived.elapsed())
    }

    /// What the caller gets if the call has to end before it was answered.
    pub(crate) fn cut(&self) -> Refusal {
        let may_have_run = self.in_flight.is_some() || self.may_have_run_count > 0;
        let reason = if may_have_run {
            Reason::Cut
        } else {
            Reason::ShuttingDown
        };
        reason.into()
    }

    /// Refuses a call that might last longer than this instance.
    fn check_time(&self, recorder: &mut CallRecorder) -> Result<(), Refusal> {
        let Some(shutdown) = self.inner.state.view().shutdown else {
            return Ok(());
        };
        let now = boot_time();
        let expected = self.expected(&shutdown, now);
        recorder.line.expected_ms = millis(expected);
        if shutdown.can_finish(expected, now) {
            Ok(())
        } else {
            Err(shutdown.refusal(now, rand::random()))
        }
    }

    /// Whether the call would end in time if it began anew after `wait`.
    pub(crate) fn could_begin_after(&self, wait: Duration) -> bool {
        self.inner.state.view().shutdown.is_none_or(|shutdown| {
            let at = boot_time() + wait + FAILOVER_TIME;
            shutdown.can_finish(self.expected(&shutdown, at), at)
        })
    }

    /// How long the call has to be expected to last if it begins at `now`. One of a kind that was not seen
    /// yet may take all of its time.
    fn expected(&self, shutdown: &Shutdown, now: Duration) -> Duration {
        let route = &self.admitted.route.name;
        let times = &self.inner.answer_times;
        let seen = if shutdown.is_announced(now) {
            times.longest(route)
        } else {
            times.usual(route)
        };
        let left = self.time_left();
        seen.map_or(left, |seen| seen.min(left))
    }

    /// What may be repeated of the call.
    pub(crate) fn repeat(&self) -> RetryPolicy {
        self.admitted.route.retry_policy
    }

    /// Whether another target may run the call though one may have run it.
    pub(crate) fn can_run_again(&self) -> bool {
        self.repeat().may_run_again() && self.may_have_run_count < self.admitted.route.max_attempts
    }

    /// Longest pause between events that is on time.
    pub(crate) fn max_event_gap(&self) -> Option<Duration> {
        self.admitted.route.max_event_gap
    }

    fn instances_count(&self) -> u32 {
        self.inner.state.view().instances_count
    }

    /// Takes one more arrival at a target out of the retry budget.
    pub(crate) fn try_retry(&self) -> bool {
        let now = self.inner.origin.elapsed();
        let instances_count = self.instances_count();
        self.inner
            .retry_budgets
            .try_retry(&self.pool, instances_count, now)
    }

    /// Has the call run by a target. `last_event_id` continues a stream after that event.
    ///
    /// A call goes on to another target only if the one before did not run it, or if it may run
    /// again; both only while the retry budget and the time for the call last. A target's own
    /// failure is the answer if no other target gives a better one.
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
        let mut given_up = Refusal::new(Reason::NoTarget).retry_after(NO_TARGET_RETRY_AFTER);
        let mut failure = None;
        let mut suspects = Vec::new();
        while self.tried_targets.len() < MAX_SENDS_COUNT && self.time_left() > MIN_TIME_LEFT {
            // Whether a torn stream is worth continuing was decided before.
            if last_event_id.is_none()
                && let Err(refusal) = self.check_time(recorder)
            {
                given_up = refusal;
                break;
            }
            let Some(picked) = self.pick() else {
                break;
            };
            let target = &picked.target.id;
            recorder.begin_attempt(&picked);
            self.tried_targets.push(target.clone());
            let outcome = self.send(&picked, last_event_id, recorder).await;
            recorder.end_attempt(describe_outcome(&outcome));
            self.record_attempt(&picked, &outcome);
            let (refusal, has_arrived) = match outcome {
                AttemptOutcome::Answered(answer) => {
                    if !self.should_try_another(&answer) || !self.try_retry() {
                        self.record_answer(&picked, &answer, &suspects);
                        return Ok(answer);
                    }
                    suspects.push(picked);
                    failure = Some(answer);
                    continue;
                }
                AttemptOutcome::NotSent(_) => (given_up, false),
                AttemptOutcome::NotRun(..) => {
                    let no_room = Refusal::new(Reason::Overloaded);
                    (no_room.retry_after(OVERLOADED_RETRY_AFTER), true)
                }
                AttemptOutcome::Unknown(_) => {
                    if !self.can_run_again() {
                        break;
                    }
                    (given_up, true)
                }
            };
            given_up = refusal;
            if has_arrived && !self.try_retry() {
                break;
            }
        }
        if let Some(failure) = failure {
            self.record_suspects(&suspects, Outcome::Failed);
            return Ok(failure);
        }
        if self.may_have_run_count > 0 {
            return Err(self.unknown_outcome());
        }
        if self.time_left() <= MIN_TIME_LEFT {
            given_up = Reason::TooLate.into();
        }
        Err(given_up)
    }

    fn pick(&self) -> Option<PickedTarget> {
        let state = &self.inner.state;
        let view = state.view();
        let cache_index = state.cache_index();
        let peer_loads = state.peer_loads();
        let context = PickContext {
            call: &self.admitted.call,
            tried_targets: &self.tried_targets,
            failure_domain: &self.inner.settings.failure_domain,
            now: self.inner.origin.elapsed(),
            stale_weights_grace: self.inner.settings.stale_weights_grace,
            random: rand::random(),
            cache_index: &cache_index,
            peer_loads: &peer_loads,
            isolated_account: self.isolated_account(),
        };
        pick(&view, &self.pool, &context)
    }

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
        let time_left = self.time_left();
        let params = AttemptParams {
            address: target.address,
            id: &self.admitted.call.id,
            reuse: Reuse::Allowed,
            first_byte_timeout: self.attempt_timeout().min(time_left),
            body_timeout: time_left,
            stream: self.repeat().is_stream(),
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
            AttemptOutcome::Answered(_) | AttemptOutcome::Unknown(_)
        ) {
            self.may_have_run_count += 1;
        }
        let has_prompt = self.admitted.call.prompt.is_some();
        if has_prompt
            && matches!(
                outcome,
                AttemptOutcome::Answered(_) | AttemptOutcome::Unknown(_)
            )
        {
            // A call that was given up waited at least until then.
            let now = self.inner.origin.elapsed();
            target.call_stats.record_start_delay(sent.elapsed(), now);
        }
        if has_prompt && matches!(outcome, AttemptOutcome::Answered(_)) {
            let mut cache_index = self.inner.state.cache_index();
            cache_index.observe(&plan, sent.elapsed(), boot_time());
        }
        if !matches!(outcome, AttemptOutcome::Answered(_)) {
            self.in_flight = None;
        }
        outcome
    }

    /// Name of the client account, if it shares computed parts with no other.
    pub(crate) fn isolated_account(&self) -> Option<&str> {
        let account = self.admitted.account.as_ref();
        let account = account.filter(|account| account.isolated);
        account.map(|account| account.name.as_str())
    }

    /// Time after which another target is tried, or all the time there is.
    fn attempt_timeout(&self) -> Duration {
        let is_last = self.may_have_run_count + 1 >= self.admitted.route.max_attempts;
        if is_last || !self.repeat().may_run_again() {
            return self.time_left();
        }
        let share = if self.repeat().is_stream() {
            STREAM_ATTEMPT_TIMEOUT_FACTOR
        } else {
            ATTEMPT_TIMEOUT_FACTOR
        };
        let attempt_timeout = self.admitted.route.latency_objective.mul_f64(share);
        if self.could_begin_after(attempt_timeout) {
            attempt_timeout
        } else {
            self.time_left()
        }
    }

    /// Whether a target's own failure should be replaced by another target's answer.
    fn should_try_another(&self, answer: &TargetAnswer) -> bool {
        answer.status.is_server_error()
            && self.can_run_again()
            && self.time_left() > MIN_TIME_LEFT
            && self.could_begin_after(Duration::ZERO)
    }

    fn unknown_outcome(&self) -> Refusal {
        let reason = if self.time_left() <= MIN_TIME_LEFT {
            Reason::TimedOut
        } else {
            Reason::TargetFailed
        };
        Refusal::new(reason)
    }
}

pub(crate) fn describe_outcome(outcome: &AttemptOutcome<TargetAnswer>) -> String {
    match outcome {
        AttemptOutcome::Answered(answer) => format!("answered {}", answer.status.as_u16()),
        AttemptOutcome::NotSent(reason) => format!("not sent: {reason}"),
        AttemptOutcome::NotRun(status, _) => format!("not run: {}", status.as_u16()),
        AttemptOutcome::Unknown(reason) => format!("unknown: {reason}"),
    }
}
