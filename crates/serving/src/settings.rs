//! Settings of the request handler.

use {catalog::InstanceId, routing::Policy, std::time::Duration};

/// Settings of the request handler.
#[derive(Clone, Debug)]
pub struct ServingSettings {
    /// Name of this instance.
    pub instance: InstanceId,
    /// Policy by which targets are compared. Policies other than [`Policy::Cost`] are meant for
    /// benchmarks only.
    pub policy: Policy,
    /// Maximum number of attempts for one request, including the first.
    pub max_attempts_count: u32,
    /// Longest time between two tokens on one connection.
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

    /// Sets the policy by which targets are compared.
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
