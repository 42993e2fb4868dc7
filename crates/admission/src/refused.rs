//! Refusal of a request.

use {snafu::Snafu, std::time::Duration};

/// Error: a request was not admitted. No part of it has run.
#[derive(Clone, Debug, PartialEq, Snafu)]
#[snafu(display(
    "{limit} is exhausted; try again in {} ms or ask the operator to raise it",
    retry_after.as_millis()
))]
pub struct Refused {
    /// The limit that was hit, for example `max_running_count of client account "kitchens"`.
    pub limit: String,
    /// Whether it is a limit of the client account, and not of the instance.
    pub is_of_account: bool,
    /// How long the caller should wait before it retries.
    pub retry_after: Duration,
}
