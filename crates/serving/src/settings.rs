//! Bounds of the request path.

use {catalog::InstanceId, routing::Policy, std::time::Duration};

/// Bounds of the request path.
#[derive(Clone, Debug)]
pub struct ServingSettings {
    /// This instance.
    pub instance: InstanceId,
    /// Rule by which targets are compared; anything but [`Policy::Cost`] is for comparison runs.
    pub policy: Policy,
    /// Attempts for one request, the first one included.
    pub max_attempts_count: u32,
    /// Longest silence between two tokens on one connection.
    pub token_idle_timeout: Duration,
    /// Longest wait for the answer of a plain service.
    pub service_timeout: Duration,
}

impl Default for ServingSettings {
    fn default() -> Self {
        Self {
            instance: InstanceId::default(),
            policy: Policy::default(),
            max_attempts_count: 3,
            token_idle_timeout: Duration::from_secs(1),
            service_timeout: Duration::from_secs(10),
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

    /// Sets the rule by which targets are compared.
    #[must_use]
    pub fn policy(mut self, policy: Policy) -> Self {
        self.policy = policy;
        self
    }

    /// Sets the longest wait for the answer of a plain service.
    #[must_use]
    pub fn service_timeout(mut self, bound: Duration) -> Self {
        self.service_timeout = bound;
        self
    }
}
