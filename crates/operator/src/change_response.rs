//! Responses to requests for changes.

use {
    configuration::{ApplyError, ApplyOutcome},
    gateway::{OperatorResponse, Refusal, RefusalKind},
    serde_json::json,
    std::time::Duration,
};

/// Delay before a retry if the key-value service could not be reached.
pub(crate) const RETRY_AFTER: Duration = Duration::from_secs(2);

/// Creates the response to an accepted change.
#[must_use]
pub fn accepted_response(accepted: &ApplyOutcome) -> OperatorResponse {
    let warnings: Vec<String> = accepted.warnings.iter().map(ToString::to_string).collect();
    OperatorResponse {
        status: 200,
        body: json!({
            "revision": accepted.revision,
            "deactivated": accepted.deactivated,
            "warnings": warnings,
        }),
    }
}

/// Creates the refusal for a failed change. Its outcome says whether the change may have been
/// applied.
#[must_use]
pub fn change_refusal(error: &ApplyError) -> Refusal {
    let message = error.to_string();
    match error {
        ApplyError::Conflict { .. } => Refusal::not_run(RefusalKind::Conflict, message),
        ApplyError::Invalid { .. } => Refusal::not_run(RefusalKind::Invalid, message),
        ApplyError::TooLarge { .. } => Refusal::not_run(RefusalKind::TooLarge, message),
        ApplyError::NotApplied { .. } | ApplyError::Abandoned { .. } => {
            Refusal::not_run(RefusalKind::Unavailable, message).retry_after(RETRY_AFTER)
        }
        ApplyError::Unknown { .. } => {
            Refusal::unknown(RefusalKind::Unavailable, message).retry_after(RETRY_AFTER)
        }
        // Earlier parts are applied already, so the outcome can't be `NotRun`.
        ApplyError::Part { source, .. } => Refusal::unknown(change_refusal(source).kind, message),
    }
}
