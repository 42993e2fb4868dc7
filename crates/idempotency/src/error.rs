//! Errors of claiming a request.

use {snafu::Snafu, std::time::Duration};

/// Why a request could not be claimed. It was therefore not run.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ClaimError {
    /// The key-value service did not accept the claim.
    #[snafu(display(
        "this attempt was not run: its claim cannot be recorded ({reason}); send it again with the \
         same idempotency key after {} ms",
        retry_after.as_millis()
    ))]
    Unavailable {
        /// Why the key-value service did not confirm the claim.
        reason: String,
        /// Delay after which the request may be retried.
        retry_after: Duration,
    },
    /// It is unknown whether the claim was recorded; it is being released.
    #[snafu(display(
        "this attempt was not run: whether its claim was recorded is not known ({reason}) and the \
         claim is being released; send it again with the same idempotency key after {} ms",
        retry_after.as_millis()
    ))]
    Unconfirmed {
        /// Why the key-value service did not confirm the claim.
        reason: String,
        /// Delay after which the request may be retried.
        retry_after: Duration,
    },
    /// Too many claims are already queued.
    #[snafu(display(
        "this attempt was not run: {queued_count} claims wait for the key-value service; send it \
         again with the same idempotency key after {} ms",
        retry_after.as_millis()
    ))]
    Overloaded {
        /// Number of queued claims.
        queued_count: usize,
        /// Delay after which the request may be retried.
        retry_after: Duration,
    },
}

impl ClaimError {
    /// Returns the delay after which the request may be retried.
    #[must_use]
    pub fn retry_after(&self) -> Duration {
        match self {
            Self::Unavailable { retry_after, .. }
            | Self::Unconfirmed { retry_after, .. }
            | Self::Overloaded { retry_after, .. } => *retry_after,
        }
    }
}
