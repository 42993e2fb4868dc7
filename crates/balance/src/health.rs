//! Ejection of targets that fail calls.

use std::time::Duration;

/// Number of consecutive failures after which a target is ejected.
const EJECTION_FAILURES_COUNT: u32 = 2;
/// Weight of the latest outcome in the moving average of failures.
const LATEST_OUTCOME_WEIGHT: f64 = 0.12;
/// Failure rate above which a target is ejected.
const MAX_FAILURE_RATE: f64 = 0.35;
/// Duration of the first ejection; it doubles with each further one.
const FIRST_EJECTION: Duration = Duration::from_millis(700);
/// Longest duration of an ejection.
const MAX_EJECTION: Duration = Duration::from_secs(6);

/// What the result of a call shows about its target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallOutcome {
    /// The target answered the call.
    Answered,
    /// The target has no free slot or is being changed; this is not a failure.
    Full,
    /// The target was unreachable, closed the connection, stopped responding or failed the call.
    Failed,
}

/// Health of one target as seen by the calls of this instance.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Health {
    /// Moving average of outcomes, from 0 (all answered) to 1 (all failed).
    failure_rate: f64,
    consecutive_failures_count: u32,
    /// Number of ejections since the failure rate was last low. Each doubles the next one's
    /// duration.
    ejections_count: u32,
    ejected_until: Duration,
}

impl Health {
    /// Records an outcome and ejects the target if it fails too often. `now` is the time since a
    /// fixed origin.
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

    /// Returns whether calls should go to other targets at `now`.
    #[must_use]
    pub fn is_ejected(&self, now: Duration) -> bool {
        now < self.ejected_until
    }

    /// Ejects the target unless it is ejected already. Afterwards it starts with half the allowed
    /// failure rate.
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
