//! How long to wait before another way is taken.

use {crate::Estimate, std::time::Duration};

/// Standard deviations above the mean that a transfer may take.
const IMPORT_DEVIATIONS: u32 = 3;
/// An import may take this part of the time that computing would, even if that is far longer than
/// expected: giving up sooner costs more than it saves.
const PATIENT_DIVISOR: u32 = 4;
/// Time that a transfer may take beyond the estimate in any case: connection and scheduling.
const IMPORT_SLACK: Duration = Duration::from_millis(20);
/// How often the expected time to first token may pass before the target counts as silent.
const FIRST_TOKEN_FACTOR: u32 = 3;
/// Least time for a first token before the target counts as silent.
const MIN_FIRST_TOKEN: Duration = Duration::from_secs(1);

/// How long the import of an estimate may take before computing the blocks is cheaper.
///
/// A transfer that takes three standard deviations longer than expected, and a quarter of the time
/// that computing would, is likely to be stuck. In no case is it worth more time than computing
/// would have taken, nor less than the estimate.
#[must_use]
pub fn import_deadline(estimate: &Estimate) -> Duration {
    let late = estimate
        .import
        .saturating_add(estimate.import_deviation.saturating_mul(IMPORT_DEVIATIONS));
    let patient = late.max(estimate.import_saves / PATIENT_DIVISOR);
    let bound = patient.min(estimate.import_saves.max(estimate.import));
    bound.saturating_add(IMPORT_SLACK)
}

/// When to ask a second store for the same blocks, if there is one: halfway between the estimate
/// and [`import_deadline`], so that most transfers need no second one.
#[must_use]
pub fn import_hedge_delay(estimate: &Estimate) -> Duration {
    let deadline = import_deadline(estimate);
    estimate.import + deadline.saturating_sub(estimate.import) / 2
}

/// How long a target may take for the first token before the connection is given up and, if the
/// request may run again, a fresh connection is tried.
#[must_use]
pub fn first_token_deadline(estimate: &Estimate) -> Duration {
    estimate
        .first_token
        .saturating_mul(FIRST_TOKEN_FACTOR)
        .max(MIN_FIRST_TOKEN)
}
