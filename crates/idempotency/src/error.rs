//! Why a claim could not be made.

use {snafu::Snafu, std::time::Duration};

/// The claim could not be made, so the request was not run.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ClaimError {
    /// The key-value service did not take the claim.
    #[snafu(display(
        "this attempt was not run: its claim cannot be recorded ({reason}); send it again with the \
         same idempotency key after {} ms",
        retry_after.as_millis()
    ))]
    Unavailable {
        /// What the key-value service reported.
        reason: String,
        /// When to come back.
        retry_after: Duration,
    },
    /// Nobody can tell whether the claim was recorded; it is being released.
    #[snafu(display(
        "this attempt was not run: whether its claim was recorded is not known ({reason}) and the \
         claim is being released; send it again with the same idempotency key after {} ms",
        retry_after.as_millis()
    ))]
    Unconfirmed {
        /// What the key-value service reported.
        reason: String,
        /// When to come back.
        retry_after: Duration,
    },
    /// Too many claims wait already.
    #[snafu(display(
        "this attempt was not run: {queued_count} claims wait for the key-value service; send it \
         again with the same idempotency key after {} ms",
        retry_after.as_millis()
    ))]
    Overloaded {
        /// Claims that wait.
        queued_count: usize,
        /// When to come back.
        retry_after: Duration,
    },
}

impl ClaimError {
    /// When to come back.
    #[must_use]
    pub fn retry_after(&self) -> Duration {
        match self {
            Self::Unavailable { retry_after, .. }
            | Self::Unconfirmed { retry_after, .. }
            | Self::Overloaded { retry_after, .. } => *retry_after,
        }
    }
}
