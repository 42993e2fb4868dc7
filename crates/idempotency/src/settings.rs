//! Settings of claims.

use {catalog::InstanceId, std::time::Duration};

/// Settings of [`crate::Claims`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimSettings {
    /// Instance that holds the claims.
    pub instance: InstanceId,
    /// Least time for which a claim and its stored answer are kept.
    pub retention: Duration,
    /// Time for which a lease is reused for further claims. Each lease lasts that much longer than
    /// `retention`.
    pub lease_reuse: Duration,
    /// Longest time from the start of a claim to the first byte sent to a target.
    pub max_send_delay: Duration,
    /// Timeout of each call of a claim to the key-value service.
    pub step_timeout: Duration,
    /// Longest time to wait until a release or an outcome is written, before the write continues in
    /// the background.
    pub finish_wait: Duration,
    /// How long the write of a release or an outcome is retried in the background.
    pub background_timeout: Duration,
    /// Longest body that is stored. Of an answer with a longer body only the status is stored.
    pub max_stored_body_bytes: usize,
}

impl ClaimSettings {
    /// Returns the default settings for `instance`.
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

    /// Sets the retention.
    #[must_use]
    pub fn retention(mut self, retention: Duration) -> Self {
        self.retention = retention;
        self
    }

    /// Sets the longest time from the start of a claim to the first byte sent.
    #[must_use]
    pub fn max_send_delay(mut self, max_send_delay: Duration) -> Self {
        self.max_send_delay = max_send_delay;
        self
    }

    /// Sets the timeout of each call.
    #[must_use]
    pub fn step_timeout(mut self, step_timeout: Duration) -> Self {
        self.step_timeout = step_timeout;
        self
    }
}
