//! Settings of claims.

use {catalog::InstanceId, std::time::Duration};

/// How claims are made.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimSettings {
    /// Instance that holds the claims.
    pub instance: InstanceId,
    /// A claim and its stored answer stay for at least this long.
    pub retention: Duration,
    /// Claims made within this time share one lease, which lives that much longer.
    pub lease_reuse: Duration,
    /// Longest time from the start of a claim to the first byte sent to a target.
    pub max_send_delay: Duration,
    /// Longest time for each step of a claim at the key-value service.
    pub step_timeout: Duration,
    /// Longest wait for a release, or for the record of an outcome, before it goes on in the
    /// background.
    pub finish_wait: Duration,
    /// How long a release, or the record of an outcome, is tried again in the background.
    pub background_timeout: Duration,
    /// Answers with longer bodies are not stored, only their status.
    pub max_stored_body_bytes: usize,
}

impl ClaimSettings {
    /// The defaults for one instance.
    #[must_use]
    pub fn new(instance: InstanceId) -> Self {
        Self {
            instance,
            retention: Duration::from_hours(24),
            lease_reuse: Duration::from_hours(1),
            max_send_delay: Duration::from_secs(10),
            step_timeout: Duration::from_secs(2),
            finish_wait: Duration::from_millis(250),
            background_timeout: Duration::from_mins(10),
            max_stored_body_bytes: 64 << 10,
        }
    }

    /// With another retention.
    #[must_use]
    pub fn retention(mut self, retention: Duration) -> Self {
        self.retention = retention;
        self
    }

    /// With another bound from claim to send.
    #[must_use]
    pub fn max_send_delay(mut self, max_send_delay: Duration) -> Self {
        self.max_send_delay = max_send_delay;
        self
    }

    /// With another timeout for each step.
    #[must_use]
    pub fn step_timeout(mut self, step_timeout: Duration) -> Self {
        self.step_timeout = step_timeout;
        self
    }
}
