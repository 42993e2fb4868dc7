//! Whether a target answers as it should.

use std::time::Duration;

/// Failures in a row after which a target is left out.
const FAILURES_IN_A_ROW_COUNT: u32 = 2;
/// Weight of the latest outcome in the failing share.
const LATEST_WEIGHT: f64 = 0.12;
/// Failing share above which a target is left out.
const MAX_FAILING_SHARE: f64 = 0.35;
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
    failing_share: f64,
    failures_in_a_row_count: u32,
    ejections_count: u32,
    left_out_until: Duration,
}

impl Health {
    /// Counts an outcome. `now` is the time since an origin that stays the same.
    pub fn record(&mut self, outcome: CallOutcome, now: Duration) {
        let failed = f64::from(u8::from(outcome == CallOutcome::Failed));
        match outcome {
            CallOutcome::Full => return,
            CallOutcome::Answered => self.failures_in_a_row_count = 0,
            CallOutcome::Failed => self.failures_in_a_row_count += 1,
        }
        self.failing_share += (failed - self.failing_share) * LATEST_WEIGHT;
        let in_a_row = self.failures_in_a_row_count >= FAILURES_IN_A_ROW_COUNT;
        if outcome == CallOutcome::Failed && (in_a_row || self.failing_share > MAX_FAILING_SHARE) {
            self.eject(now);
        }
        if outcome == CallOutcome::Answered && self.failing_share < LATEST_WEIGHT {
            self.ejections_count = 0;
        }
    }

    /// Whether calls should go elsewhere.
    #[must_use]
    pub fn is_ejected(&self, now: Duration) -> bool {
        now < self.left_out_until
    }

    fn eject(&mut self, now: Duration) {
        if self.is_ejected(now) {
            return;
        }
        let factor = 1 << self.ejections_count.min(4);
        self.left_out_until = now + (FIRST_EJECTION * factor).min(MAX_EJECTION);
        self.ejections_count += 1;
        self.failing_share = MAX_FAILING_SHARE / 2.0;
    }
}
