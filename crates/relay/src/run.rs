//! A call's way from target to target, until one has answered it or it is given up.

use {
    crate::{
        HeaderFormat, Reason, Refusal, Shutdown,
        admit::Admitted,
        attempt::{AttemptOutcome, Outgoing, TargetAnswer, attempt},
        boot_time,
        pick::{Picked, Picking, pick},
        relay::Inner,
        trail::{Trail, millis},
        view::InFlightGuard,
    },
    balance::CallOutcome,
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
const MIN_TIME: Duration = Duration::from_millis(10);
/// Most targets that a call is sent to when those before did not run it.
const MAX_SENDS_COUNT: usize = 4;
/// Time that it may take to turn from one target to the next.
const NEXT_TRY_TIME: Duration = Duration::from_millis(200);
/// Share of the objective after which a call that may run again is tried elsewhere.
const PATIENCE_SHARE: f64 = 0.7;
/// The same for the first event of a stream. A target that is still reading the prompt would have to
/// be left for one that begins anew, so only silence counts.
const STREAM_PATIENCE_SHARE: f64 = 2.5;
/// When to come back if no target can be used.
const NO_TARGET_RETRY: Duration = Duration::from_millis(400);
/// When to come back if all targets that were asked are full.
const NO_ROOM_RETRY: Duration = Duration::from_millis(250);

/// A call that is being served.
pub(crate) struct Job<Format> {
    pub(crate) inner: Arc<Inner<Format>>,
    pub(crate) admitted: Admitted,
    head: request::Parts,
    body: Bytes,
    /// Room for the body.
    _room: OwnedSemaphorePermit,
    arrived: Instant,
    pool: PoolId,
    tried: Vec<TargetId>,
    may_have_run_count: u32,
    under_way: Option<InFlightGuard>,
}

impl<Format> Job<Format>
where
    Format: HeaderFormat,
{
    pub(crate) fn new(
        inner: Arc<Inner<Format>>,
        admitted: Admitted,
        head: request::Parts,
        body: Bytes,
        room: OwnedSemaphorePermit,
        arrived: Instant,
    ) -> Self {
        let pool = admitted.route.draw_pool(rand::random());
        let pool = pool.cloned().unwrap_or_default();
        Self {
            inner,
            admitted,
            head,
            body,
            _room: room,
            arrived,
            pool,
            tried: Vec::new(),
            may_have_run_count: 0,
            under_way: None,
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
        let may_have_run = self.under_way.is_some() || self.may_have_run_count > 0;
        let reason = if may_have_run {
            Reason::Cut
        } else {
            Reason::ShuttingDown
        };
        reason.into()
    }

    /// Refuses a call that might last longer than this instance.
    fn check_time(&self, trail: &mut Trail) -> Result<(), Refusal> {
        let Some(leaving) = self.inner.followed.view().shutdown else {
            return Ok(());
        };
        let now = boot_time();
        let expected = self.expected(&leaving, now);
        trail.line.expected_ms = millis(expected);
        if leaving.can_finish(expected, now) {
            Ok(())
        } else {
            Err(leaving.refusal(now, rand::random()))
        }
    }

    /// Whether the call would end in time if it began anew after `wait`.
    pub(crate) fn could_begin_after(&self, wait: Duration) -> bool {
        self.inner.followed.view().shutdown.is_none_or(|leaving| {
            let at = boot_time() + wait + NEXT_TRY_TIME;
            leaving.can_finish(self.expected(&leaving, at), at)
        })
    }

    /// How long the call has to be expected to last if it begins at `now`. One of a kind that was not seen
    /// yet may take all of its time.
    fn expected(&self, leaving: &Shutdown, now: Duration) -> Duration {
        let route = &self.admitted.route.name;
        let times = &self.inner.answer_times;
        let seen = if leaving.is_announced(now) {
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
        self.inner.followed.view().instances_count
    }

    /// Takes one more arrival at a target out of the retry budget.
    pub(crate) fn try_retry(&self) -> bool {
        let now = self.inner.origin.elapsed();
        let instances_count = self.instances_count();
        self.inner
            .retries
            .try_retry(&self.pool, instances_count, now)
    }

    /// Has the call run by a target. `last_event_id` continues a stream after that event.
    ///
    /// A call goes on to another target only if the one before did not run it, or if it may run
    /// again; both only while the retry budget and the time for the call last. A target's own
    /// failure is the answer if no other target gives a better one.
    pub(crate) async fn run(
        &mut self,
        trail: &mut Trail,
        last_event_id: Option<u64>,
    ) -> Result<TargetAnswer, Refusal> {
        if last_event_id.is_none() {
            let instances_count = self.instances_count();
            self.inner.retries.record_call(&self.pool, instances_count);
        }
        let mut given_up = Refusal::new(Reason::NoTarget).retry_after(NO_TARGET_RETRY);
        let mut failure = None;
        let mut suspects = Vec::new();
        while self.tried.len() < MAX_SENDS_COUNT && self.time_left() > MIN_TIME {
            // Whether a torn stream is worth continuing was decided before.
            if last_event_id.is_none()
                && let Err(refusal) = self.check_time(trail)
            {
                given_up = refusal;
                break;
            }
            let Some(picked) = self.pick() else {
                break;
            };
            let target = &picked.target.id;
            trail.attempt(&picked);
            self.tried.push(target.clone());
            let tried = self.send(&picked, last_event_id, trail).await;
            trail.attempted(describe(&tried));
            self.note(&picked, &tried);
            let (refusal, arrived) = match tried {
                AttemptOutcome::Answered(answer) => {
                    if !self.is_worth_another(&answer) || !self.try_retry() {
                        self.note_answer(&picked, &answer, &suspects);
                        return Ok(answer);
                    }
                    suspects.push(picked);
                    failure = Some(answer);
                    continue;
                }
                AttemptOutcome::NotSent(_) => (given_up, false),
                AttemptOutcome::NotRun(..) => {
                    let no_room = Refusal::new(Reason::NoRoom);
                    (no_room.retry_after(NO_ROOM_RETRY), true)
                }
                AttemptOutcome::Unknown(_) => {
                    if !self.can_run_again() {
                        break;
                    }
                    (given_up, true)
                }
            };
            given_up = refusal;
            if arrived && !self.try_retry() {
                break;
            }
        }
        if let Some(failure) = failure {
            self.note_suspects(&suspects, CallOutcome::Failed);
            return Ok(failure);
        }
        if self.may_have_run_count > 0 {
            return Err(self.unknown());
        }
        if self.time_left() <= MIN_TIME {
            given_up = Reason::TooLate.into();
        }
        Err(given_up)
    }

    fn pick(&self) -> Option<Picked> {
        let followed = &self.inner.followed;
        let view = followed.view();
        let keeping = followed.cache_index();
        let peer_loads = followed.peer_loads();
        let picking = Picking {
            call: &self.admitted.call,
            tried: &self.tried,
            failure_domain: &self.inner.settings.failure_domain,
            now: self.inner.origin.elapsed(),
            stale_weights_grace: self.inner.settings.stale_weights_grace,
            draw: rand::random(),
            keeping: &keeping,
            peer_loads: &peer_loads,
            isolated: self.isolated(),
        };
        pick(&view, &self.pool, &picking)
    }

    async fn send(
        &mut self,
        picked: &Picked,
        last_event_id: Option<u64>,
        trail: &mut Trail,
    ) -> AttemptOutcome<TargetAnswer> {
        let target = &picked.target;
        let plan = self.plan_parts(picked, trail);
        let sending = self.sending(picked, last_event_id, &plan);
        let sent = Instant::now();
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = self.head.uri.clone();
        *request.headers_mut() = self.inner.wire.target_headers(&self.head.headers, &sending);
        self.under_way = Some(target.call_stats.start_call());
        let whole = self.time_left();
        let outgoing = Outgoing {
            address: target.address,
            id: &self.admitted.call.id,
            reuse: Reuse::Allowed,
            first_byte: self.patience().min(whole),
            whole,
            stream: self.repeat().is_stream(),
        };
        let tried = attempt(&self.inner.client, &self.inner.wire, request, outgoing).await;
        if matches!(
            tried,
            AttemptOutcome::Answered(_) | AttemptOutcome::Unknown(_)
        ) {
            self.may_have_run_count += 1;
        }
        let has_prompt = self.admitted.call.prompt.is_some();
        if has_prompt
            && matches!(
                tried,
                AttemptOutcome::Answered(_) | AttemptOutcome::Unknown(_)
            )
        {
            // A call that was given up waited at least until then.
            let now = self.inner.origin.elapsed();
            target.call_stats.record_start_delay(sent.elapsed(), now);
        }
        if has_prompt && matches!(tried, AttemptOutcome::Answered(_)) {
            let mut keeping = self.inner.followed.cache_index();
            keeping.record_first_event(&plan, sent.elapsed(), boot_time());
        }
        if !matches!(tried, AttemptOutcome::Answered(_)) {
            self.under_way = None;
        }
        tried
    }

    /// Name of the client account, if it shares computed parts with no other.
    pub(crate) fn isolated(&self) -> Option<&str> {
        let account = self.admitted.account.as_ref();
        let account = account.filter(|account| account.isolated);
        account.map(|account| account.name.as_str())
    }

    /// Time after which another target is tried, or all the time there is.
    fn patience(&self) -> Duration {
        let is_last = self.may_have_run_count + 1 >= self.admitted.route.max_attempts;
        if is_last || !self.repeat().may_run_again() {
            return self.time_left();
        }
        let share = if self.repeat().is_stream() {
            STREAM_PATIENCE_SHARE
        } else {
            PATIENCE_SHARE
        };
        let patience = self.admitted.route.latency_objective.mul_f64(share);
        if self.could_begin_after(patience) {
            patience
        } else {
            self.time_left()
        }
    }

    /// Whether a target's own failure should be replaced by another target's answer.
    fn is_worth_another(&self, answer: &TargetAnswer) -> bool {
        answer.status.is_server_error()
            && self.can_run_again()
            && self.time_left() > MIN_TIME
            && self.could_begin_after(Duration::ZERO)
    }

    fn unknown(&self) -> Refusal {
        let reason = if self.time_left() <= MIN_TIME {
            Reason::TimedOut
        } else {
            Reason::TargetFailed
        };
        Refusal::new(reason)
    }
}

pub(crate) fn describe(tried: &AttemptOutcome<TargetAnswer>) -> String {
    match tried {
        AttemptOutcome::Answered(answer) => format!("answered {}", answer.status.as_u16()),
        AttemptOutcome::NotSent(reason) => format!("not sent: {reason}"),
        AttemptOutcome::NotRun(status, _) => format!("not run: {}", status.as_u16()),
        AttemptOutcome::Unknown(reason) => format!("unknown: {reason}"),
    }
}
