//! Bounds of the request path.

use {catalog::InstanceId, std::time::Duration};

/// Bounds of the request path.
#[derive(Clone, Debug)]
pub struct ServingSettings {
    /// This instance.
    pub instance: InstanceId,
    /// Attempts for one request, the first one included.
    pub max_attempts_count: u32,
    /// Longest wait for a first byte beyond the estimate.
    pub first_byte_margin: Duration,
    /// Longest silence between two tokens on one connection.
    pub token_silence: Duration,
    /// Longest wait for the answer of a plain service.
    pub service_bound: Duration,
    /// How long callers may keep an answer about addresses.
    pub entries_max_age: Duration,
}

impl Default for ServingSettings {
    fn default() -> Self {
        Self {
            instance: InstanceId::default(),
            max_attempts_count: 3,
            first_byte_margin: Duration::from_secs(2),
            token_silence: Duration::from_secs(1),
            service_bound: Duration::from_secs(10),
            entries_max_age: Duration::from_secs(5),
        }
    }
}

impl ServingSettings {
    /// Sets the instance's name.
    #[must_use]
    pub fn instance(mut self, instance: InstanceId) -> Self {
        self.instance = instance;
        self
    }

    /// Sets the longest wait for the answer of a plain service.
    #[must_use]
    pub fn service_bound(mut self, bound: Duration) -> Self {
        self.service_bound = bound;
        self
    }

    /// Sets how long callers may keep an answer about addresses.
    #[must_use]
    pub fn entries_max_age(mut self, max_age: Duration) -> Self {
        self.entries_max_age = max_age;
        self
    }
}
