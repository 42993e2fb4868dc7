//! Refusals.

use {snafu::Snafu, std::time::Duration};

/// A request that was not admitted. Nothing of it ran.
#[derive(Clone, Debug, PartialEq, Snafu)]
#[snafu(display(
    "{limit} is exhausted; try again in {} ms or ask the operator to raise it",
    retry_after.as_millis()
))]
pub struct Refused {
    /// The limit that was hit, for example `max_running_count of client account "kitchens"`.
    pub limit: String,
    /// When to come back.
    pub retry_after: Duration,
}
