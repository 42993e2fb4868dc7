//! How long to wait for a transfer or a first token before trying something else.

use {crate::Estimate, std::time::Duration};

/// Standard deviations by which a transfer may exceed its expected time.
const IMPORT_DEVIATIONS: u32 = 3;
/// An import may always take the time to compute the same blocks divided by this, even if that is
/// far longer than expected: giving up earlier costs more than it saves.
const COMPUTE_TIME_DIVISOR: u32 = 4;
/// Extra time for every transfer, for connecting and scheduling.
const IMPORT_SLACK: Duration = Duration::from_millis(20);
/// Multiple of the expected time to first token after which a target counts as unresponsive.
const FIRST_TOKEN_FACTOR: u32 = 3;
/// Shortest deadline for a first token.
const MIN_FIRST_TOKEN_DEADLINE: Duration = Duration::from_secs(1);

/// Returns how long an import may take before it is cancelled and its blocks are computed instead.
///
/// A transfer that exceeds its expected time by three standard deviations, and has taken a quarter
/// of the time to compute its blocks, is probably stuck. The deadline is capped by the time to
/// compute the blocks but is never shorter than the expected time of the import. Connecting and
/// scheduling add a fixed 20 ms.
#[must_use]
pub fn import_deadline(estimate: &Estimate) -> Duration {
    let likely_longest = estimate
        .import
        .saturating_add(estimate.import_deviation.saturating_mul(IMPORT_DEVIATIONS));
    let tolerated = likely_longest.max(estimate.import_saves / COMPUTE_TIME_DIVISOR);
    let capped = tolerated.min(estimate.import_saves.max(estimate.import));
    capped.saturating_add(IMPORT_SLACK)
}

/// Returns when to send a hedged request for the same blocks to a second store, if there is one.
///
/// The delay lies halfway between the expected time of the import and [`import_deadline`], so that
/// most transfers need no second request.
#[must_use]
pub fn import_hedge_delay(estimate: &Estimate) -> Duration {
    let deadline = import_deadline(estimate);
    estimate.import + deadline.saturating_sub(estimate.import) / 2
}

/// Returns how long a target may take to send the first token.
///
/// After that the caller closes the connection and, if the request may run again, retries it on a
/// new one. The deadline is three times the expected time to first token, and at least 1 s.
#[must_use]
pub fn first_token_deadline(estimate: &Estimate) -> Duration {
    estimate
        .first_token
        .saturating_mul(FIRST_TOKEN_FACTOR)
        .max(MIN_FIRST_TOKEN_DEADLINE)
}
