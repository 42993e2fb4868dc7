//! Calls of one priority.

use {
    crate::{
        CallNeeds, PoolState, account_shares::AccountShares, decayed_sum::DecayedSum,
        start_pace::StartPace,
    },
    std::time::Duration,
};

/// Bounds of each factor by which a call is served more or less often than others of its class, so
/// that no kind of call is always refused.
const FACTOR_BOUNDS: (f64, f64) = (0.25, 4.0);
/// Factor for a call that comes back after a refusal, so that few callers are refused twice.
const RETURN_FACTOR: f64 = 1.5;
/// Step by which [`PriorityClass::call_share`] approaches the share of the class.
const FILL_STEP: f64 = 0.1;
/// Largest correction of [`PriorityClass::call_share`].
const MAX_FILL: f64 = 16.0;

/// What an instance has observed of the calls of one priority.
#[derive(Clone, Debug, Default)]
pub(crate) struct PriorityClass {
    /// How long the calls wait at targets.
    pub(crate) pace: StartPace,
    /// Latency objective of the latest call.
    latency_objective: Duration,
    /// Number of calls that came.
    calls_count: DecayedSum,
    /// Work of the calls that came.
    offered_tokens: DecayedSum,
    /// Number of calls that were sent to targets.
    admitted_count: DecayedSum,
    /// Preferences of the calls that came.
    preferences: DecayedSum,
    /// Logarithm of the correction of [`PriorityClass::call_share`].
    log_fill: f64,
    accounts: AccountShares,
}

impl PriorityClass {
    /// Records that a call has come.
    pub(crate) fn record_call(&mut self, call: &CallNeeds<'_>, now: Duration) {
        self.latency_objective = call.latency_objective;
        self.calls_count.add(1.0, now);
        self.offered_tokens.add(call.work_tokens(), now);
    }

    /// Records that a call runs.
    pub(crate) fn record_run(&mut self, call: &CallNeeds<'_>, now: Duration) {
        self.admitted_count.add(1.0, now);
        self.accounts.record(call.account, call.work_tokens(), now);
    }

    /// Recent number of calls that came.
    pub(crate) fn calls_count(&self, now: Duration) -> f64 {
        self.calls_count.value(now)
    }

    /// Recent work of the calls that came.
    pub(crate) fn offered_tokens(&self, now: Duration) -> f64 {
        self.offered_tokens.value(now)
    }

    /// Recent number of calls that were sent to targets.
    pub(crate) fn admitted_count(&self, now: Duration) -> f64 {
        self.admitted_count.value(now)
    }

    /// Predicted start delay at the mean target, relative to the latency objective of the class.
    pub(crate) fn pressure(&self, pool: &PoolState<'_>) -> f64 {
        if self.latency_objective.is_zero() {
            return 0.0;
        }
        let mean_start = self.pace.predict(pool.mean_tokens());
        mean_start.as_secs_f64() / self.latency_objective.as_secs_f64()
    }

    /// Probability that `call` is served if `served_share` of its class is: higher if the call needs
    /// less work than the mean, if its account uses less than the mean, or if it comes back.
    pub(crate) fn call_share(
        &mut self,
        call: &CallNeeds<'_>,
        served_share: f64,
        now: Duration,
    ) -> f64 {
        let share = (served_share * self.preference(call, now) * self.log_fill.exp()).min(1.0);
        // Calls that are served for certain would leave a part of the share unused.
        let log_fill = self.log_fill + FILL_STEP * (served_share - share);
        self.log_fill = log_fill.clamp(0.0, MAX_FILL.ln());
        share
    }

    /// Preference for `call` relative to the mean one of the class. Counts it.
    fn preference(&mut self, call: &CallNeeds<'_>, now: Duration) -> f64 {
        let calls_count = self.calls_count.value(now).max(f64::EPSILON);
        let mean_tokens = self.offered_tokens.value(now) / calls_count;
        let relative_work = call.work_tokens() / mean_tokens.max(1.0);
        let relative_use = self.accounts.relative_use(call.account, now);
        let bounded = |factor: f64| factor.clamp(FACTOR_BOUNDS.0, FACTOR_BOUNDS.1);
        let return_factor = if call.is_return() { RETURN_FACTOR } else { 1.0 };
        let preference = return_factor / bounded(relative_work) / bounded(relative_use);
        self.preferences.add(preference, now);
        preference * calls_count / self.preferences.value(now)
    }
}
