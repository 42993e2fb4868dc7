//! What this instance has observed of a target by its own calls.

use {
    crate::{
        ColdPool, LimitObservation, NewStatement, RegisteredCold, TargetStatements,
        call_tokens::CallTokens,
        cold_state::REREGISTRATION_TIME,
        observations::Observations,
        refusal_bound::KnownBound,
        registered_process::RegisteredProcess,
        target_conditions::{CallContext, NextCall},
    },
    balance::{BoundedPlaces, CallOutcome},
    hyper::StatusCode,
    std::{
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicU32, AtomicU64, Ordering},
        },
        time::Duration,
    },
};

/// Time after an answer that stated a limit within which the word of another instance that the limit
/// has ended may be older than the answer.
const LIMIT_END_DELAY: Duration = Duration::from_millis(500);

/// What this instance has observed of a target by its own calls. Shared by successive views.
///
/// Times are relative to the start of the relay.
#[derive(Debug, Default)]
pub struct TargetStats {
    in_flight_count: AtomicU32,
    in_flight_tokens_count: AtomicU64,
    unread_tokens_count: AtomicU64,
    observations: Mutex<Observations>,
    registered_process: RegisteredProcess,
}

impl TargetStats {
    /// Stats of a process that has replaced the one of these stats, under the same id.
    #[must_use]
    pub fn of_new_process(&self) -> Self {
        let mut observations = Observations::default();
        observations.conditions.cold = self.lock().conditions.cold.of_new_process();
        Self {
            observations: Mutex::new(observations),
            ..Self::default()
        }
    }

    /// What is known of the process at the target's address.
    pub(crate) fn registered_process(&self) -> &RegisteredProcess {
        &self.registered_process
    }

    /// Applies what the target's registration, known from `now` on, states of how long it stays cold.
    pub fn register_cold(&self, registered: RegisteredCold, now: Duration) {
        self.lock().conditions.cold.register(registered, now);
    }

    /// Records that no connection to the target could be opened at `now`: it may be restarting.
    pub(crate) fn record_unreached(&self, now: Duration) {
        self.lock().conditions.cold.suspect_restart(now);
    }

    /// Counts a request to the target besides calls, such as a health check.
    pub(crate) fn charge_cold(&self, now: Duration) {
        self.lock().conditions.cold.charge(now);
    }

    /// Whether the target is or may be cold.
    pub(crate) fn is_cold(&self, pool: &ColdPool<'_>, now: Duration) -> bool {
        self.lock().conditions.cold.is_cold(pool, now)
    }

    /// See [`ColdPool::try_take`].
    pub(crate) fn try_take_cold(
        &self,
        pool: &ColdPool<'_>,
        target_seed: u64,
        now: Duration,
    ) -> bool {
        let cold = &mut self.lock().conditions.cold;
        cold.try_take(pool, target_seed, now)
    }

    /// See [`ColdPool::update_share`].
    pub(crate) fn update_cold_share(&self, pool: &ColdPool<'_>, target_seed: u64, now: Duration) {
        let cold = &mut self.lock().conditions.cold;
        cold.update_share(pool, target_seed, now);
    }

    /// Number of calls that this instance has in flight at the target.
    #[must_use]
    pub fn in_flight_count(&self) -> u32 {
        self.in_flight_count.load(Ordering::Relaxed)
    }

    /// Prompt tokens and expected output tokens of these calls.
    #[must_use]
    pub fn in_flight_tokens_count(&self) -> u64 {
        self.in_flight_tokens_count.load(Ordering::Relaxed)
    }

    /// Prompt tokens that the target has still to read for those of these calls that have not begun.
    #[must_use]
    pub fn unread_tokens_count(&self) -> u64 {
        self.unread_tokens_count.load(Ordering::Relaxed)
    }

    /// Counts a call as in flight until the guard is dropped.
    #[must_use]
    fn start_call(self: &Arc<Self>, tokens: CallTokens) -> InFlightGuard {
        self.in_flight_count.fetch_add(1, Ordering::Relaxed);
        self.in_flight_tokens_count
            .fetch_add(tokens.held_count, Ordering::Relaxed);
        self.unread_tokens_count
            .fetch_add(tokens.unread_count, Ordering::Relaxed);
        InFlightGuard {
            call_stats: self.clone(),
            held_tokens_count: tokens.held_count,
            unread_tokens_count: tokens.unread_count,
        }
    }

    /// Records the outcome of a call. Returns whether the target is ejected from now on although it
    /// was not before.
    pub fn record_outcome(&self, outcome: CallOutcome, now: Duration) -> bool {
        let mut observations = self.lock();
        let was_ejected = observations.health.is_ejected(now);
        observations.health.record(outcome, now);
        !was_ejected && observations.health.is_ejected(now)
    }

    /// Whether the target is ejected: it failed calls, so calls avoid it unless no other is left.
    #[must_use]
    pub fn is_ejected(&self, now: Duration) -> bool {
        self.lock().health.is_ejected(now)
    }

    /// Records at `now` a call whose first event came, or that was abandoned without one, after
    /// `took`.
    pub fn record_start_delay(&self, took: Duration, now: Duration) {
        self.lock().start_delay.record(took, now);
    }

    /// Recent peak of the time to first event, decayed until `now`. It estimates the time until a
    /// call sent at `now` starts to run.
    #[must_use]
    pub fn start_delay(&self, now: Duration) -> Duration {
        self.lock().start_delay.expected(now)
    }

    /// Bound on the target's refusals; `None` if none is known.
    pub(crate) fn refusal_bound(&self, call: &CallContext<'_>) -> Option<KnownBound> {
        self.lock().conditions.refusal_bound.known(call)
    }

    /// The target's places, if it is taken to bear few refusals.
    pub(crate) fn places(&self, call: &CallContext<'_>) -> Option<BoundedPlaces> {
        self.lock().conditions.refusal_bound.places(call)
    }

    /// Records that the target refused a call for want of room.
    pub(crate) fn record_refusal(&self, call: &CallContext<'_>) {
        let bound = &mut self.lock().conditions.refusal_bound;
        bound.record_refusal(call, self.in_flight_count());
    }

    /// Records that the target took a call, sent when that made up `in_flight_count` calls of this
    /// instance there.
    pub(crate) fn record_accepted(&self, in_flight_count: u32, now: Duration) {
        let bound = &mut self.lock().conditions.refusal_bound;
        bound.record_accepted(in_flight_count, now);
    }

    /// Whether the target has stated that it is about to exit.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.lock().conditions.is_leaving
    }

    /// Whether the target has stated that it is about to exit, that it wants no calls for a while or, in
    /// a recent refusal, that it bears few, so that this must be remembered if its registration
    /// disappears for a while.
    #[must_use]
    pub fn refuses_calls(&self, now: Duration) -> bool {
        let conditions = self.lock().conditions;
        conditions.is_leaving
            || !conditions.backoff.time_until_call(now).is_zero()
            || conditions.refusal_bound.spared_for(now).is_some()
    }

    /// Records what an answer states that is no answer to a call, such as a report. Returns what is
    /// new.
    pub(crate) fn observe_report(
        &self,
        status: StatusCode,
        statements: &TargetStatements,
        now: Duration,
    ) -> Vec<NewStatement> {
        self.lock().observe_report(status, statements, now)
    }

    /// Records what an answer to a call states. Returns what is new.
    pub(crate) fn observe_answer(
        &self,
        status: StatusCode,
        statements: &TargetStatements,
        now: Duration,
    ) -> Vec<NewStatement> {
        self.lock().observe_answer(status, statements, now)
    }

    /// Records that the target broke off a connection at `now`, by [`crate::boot_time`]: it may have
    /// restarted with other software.
    pub(crate) fn record_disconnect(&self, now: Duration) {
        let mut observations = self.lock();
        observations.disconnected_at = Some(now);
        observations.conditions.cold.suspect_restart(now);
    }

    /// Whether the target may have restarted since its registration was read. `confirmed_at` is when
    /// the key-value service last confirmed that the registrations are current.
    #[must_use]
    pub(crate) fn may_have_restarted(&self, confirmed_at: Duration) -> bool {
        let disconnected_at = self.lock().disconnected_at;
        disconnected_at.is_some_and(|at| confirmed_at < at + REREGISTRATION_TIME)
    }

    /// Pauses the target until `until`, for example while it loads weights.
    pub fn pause(&self, until: Duration) {
        let mut observations = self.lock();
        observations.paused_until = observations.paused_until.max(until);
    }

    /// Whether the target is paused, so that calls go to other targets if there are any.
    #[must_use]
    pub fn is_paused(&self, now: Duration) -> bool {
        now < self.lock().paused_until
    }

    /// Records that the target has at least this version of a model's weights, as an answer has
    /// shown or implied.
    pub fn record_version(&self, model: &str, version: u64) {
        let mut observations = self.lock();
        let known = observations.versions.entry(model.to_owned()).or_default();
        *known = (*known).max(version);
    }

    /// Forgets the version that answers have shown, so that the target's own report counts again.
    pub fn forget_version(&self, model: &str) {
        self.lock().versions.remove(model);
    }

    /// Newest version of a model's weights that answers have shown.
    #[must_use]
    pub fn observed_version(&self, model: &str) -> Option<u64> {
        self.lock().versions.get(model).copied()
    }

    /// Records the limit that an answer states, in calls per second of all instances together;
    /// `None` if it states none. `now` is by [`crate::boot_time`], as all times of limits are.
    pub fn record_limit(&self, limit_per_s: Option<f64>, now: Duration) {
        self.lock().record_limit(limit_per_s, now);
    }

    /// Applies a limit that another instance announces. It replaces an earlier announcement, but
    /// not a limit that an answer stated to this instance.
    pub fn announce_limit(&self, limit_per_s: f64, now: Duration) {
        let mut observations = self.lock();
        observations
            .limit_or_new(limit_per_s, now)
            .announce(limit_per_s);
    }

    /// Applies the word of another instance that the limit has ended, unless an answer stated it to
    /// this instance just before.
    pub fn announce_limit_end(&self, now: Duration) {
        let limit = &mut self.lock().conditions.limit;
        let is_recent = |stated_at| now.saturating_sub(stated_at) < LIMIT_END_DELAY;
        match limit {
            Some(limit) if limit.stated_at().is_some_and(is_recent) => limit.end_announcement(),
            _ => *limit = None,
        }
    }

    /// What the last answer to this instance said of a limit; `None` before the first answer.
    #[must_use]
    pub fn limit_observation(&self) -> Option<LimitObservation> {
        self.lock().limit_observation()
    }

    /// Whether the target has answered a call of this instance after `since`, by [`crate::boot_time`].
    pub(crate) fn has_answered_since(&self, since: Duration) -> bool {
        let answered_at = self.lock().answered_at;
        answered_at.is_some_and(|at| since < at)
    }

    /// When this instance may send the target a call, and whether the target's backoff is over, but other
    /// instances return to it first.
    pub(crate) fn next_call(&self, call: &CallContext<'_>) -> (NextCall, bool) {
        let conditions = &mut self.lock().conditions;
        let is_before_return = conditions.is_before_return(call);
        let next_call = conditions.next_call(call, self.in_flight_count());
        (next_call, is_before_return)
    }

    /// Takes the right to send the target one call, which counts as in flight until the guard is
    /// dropped; `None` if there is none now.
    pub(crate) fn try_take_call(
        self: &Arc<Self>,
        call: &CallContext<'_>,
        tokens: CallTokens,
    ) -> Option<InFlightGuard> {
        let conditions = &mut self.lock().conditions;
        let is_taken = conditions.try_take(call, self.in_flight_count());
        is_taken.then(|| self.start_call(tokens))
    }

    fn lock(&self) -> MutexGuard<'_, Observations> {
        self.observations
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Counts a call as in flight until dropped.
#[derive(Debug)]
pub struct InFlightGuard {
    call_stats: Arc<TargetStats>,
    held_tokens_count: u64,
    /// Tokens that count as unread; 0 once the call has begun.
    unread_tokens_count: u64,
}

impl InFlightGuard {
    /// Stats of the target that has the call.
    #[must_use]
    pub fn call_stats(&self) -> &TargetStats {
        &self.call_stats
    }

    /// Records that the target has begun to answer, so it has read the prompt.
    pub(crate) fn record_begun(&mut self) {
        let unread_tokens_count = std::mem::take(&mut self.unread_tokens_count);
        self.call_stats
            .unread_tokens_count
            .fetch_sub(unread_tokens_count, Ordering::Relaxed);
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.call_stats
            .in_flight_count
            .fetch_sub(1, Ordering::Relaxed);
        self.call_stats
            .in_flight_tokens_count
            .fetch_sub(self.held_tokens_count, Ordering::Relaxed);
        self.record_begun();
    }
}
