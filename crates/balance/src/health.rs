//! Whether a target answers as it should.

use std::time::Duration;

/// Failures in a row after which a target is left out.
const EJECTION_FAILURES_COUNT: u32 = 2;
/// Weight of the latest outcome in the failing share.
const LATEST_OUTCOME_WEIGHT: f64 = 0.12;
/// Failing share above which a target is left out.
const MAX_FAILURE_RATE: f64 = 0.35;
/// First time that a failing target is left out; doubles with each further one.
const FIRST_EJECTION: Duration = Duration::from_millis(700);
/// Longest time that a failing target is left out.
const MAX_EJECTION: Duration = Duration::from_secs(6);

/// What a call showed of its target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallOutcome {
    /// It answered the call.
    Answered,
    /// It has no room now, or is being changed; no fault.
    Full,
    /// It could not be reached, broke off, fell silent or failed the call.
    Failed,
}

/// Health of one target, seen by the calls of this instance.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Health {
    failure_rate: f64,
    consecutive_failures_count: u32,
    ejections_count: u32,
    ejected_until: Duration,
}

impl Health {
    /// Counts an outcome. `now` is the time since an origin that stays the same.
    pub fn record(&mut self, outcome: CallOutcome, now: Duration) {
        let failure = f64::from(u8::from(outcome == CallOutcome::Failed));
        match outcome {
            CallOutcome::Full => return,
            CallOutcome::Answered => self.consecutive_failures_count = 0,
            CallOutcome::Failed => self.consecutive_failures_count += 1,
        }
        self.failure_rate += (failure - self.failure_rate) * LATEST_OUTCOME_WEIGHT;
        let has_failed_repeatedly = self.consecutive_failures_count >= EJECTION_FAILURES_COUNT;
        if outcome == CallOutcome::Failed
            && (has_failed_repeatedly || self.failure_rate > MAX_FAILURE_RATE)
        {
            self.eject(now);
        }
        if outcome == CallOutcome::Answered && self.failure_rate < LATEST_OUTCOME_WEIGHT {
            self.ejections_count = 0;
        }
    }

    /// Whether calls should go elsewhere.
    #[must_use]
    pub fn is_ejected(&self, now: Duration) -> bool {
        now < self.ejected_until
    }

    fn eject(&mut self, now: Duration) {
        if self.is_ejected(now) {
            return;
        }
        let factor = 1 << self.ejections_count.min(4);
        self.ejected_until = now + (FIRST_EJECTION * factor).min(MAX_EJECTION);
        self.ejections_count += 1;
        self.failure_rate = MAX_FAILURE_RATE / 2.0;
    }
}
