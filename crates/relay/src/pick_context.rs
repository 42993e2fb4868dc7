//! What a target is chosen by, besides the view.

use {
    crate::{
        Call, ColdPool, TargetState, boot_time, pool_bounds::PoolBound, reach::Reach,
        salt::CacheScope, target_conditions::CallContext, target_limit::Senders,
    },
    balance::PeerLoads,
    catalog::{FailureDomainId, TargetId},
    parts::PartDirectory,
    std::time::Duration,
};

/// Inputs of a choice besides the view.
#[derive(Clone, Copy)]
pub(crate) struct PickContext<'call> {
    /// Metadata of the call.
    pub(crate) call: &'call Call,
    /// Where the call may go.
    pub(crate) reach: &'call Reach<'call>,
    /// Targets that were already tried for the call, including those that could not be reached.
    pub(crate) tried_targets: &'call [TargetId],
    /// Failure domain of this instance.
    pub(crate) failure_domain: &'call FailureDomainId,
    /// Time since the relay started.
    pub(crate) now: Duration,
    /// Time after a newer version is requested during which older weights may still be used.
    pub(crate) stale_weights_grace: Duration,
    /// Random number for the load balancer.
    pub(crate) random: u64,
    /// Index of the prompt parts that engines (targets that run prompts) hold in memory and that
    /// stores (servers for cached parts) hold for them.
    pub(crate) cache_index: &'call PartDirectory,
    /// Calls that other instances have in flight.
    pub(crate) peer_loads: &'call PeerLoads,
    /// Whether targets are compared by prompt tokens besides calls.
    pub(crate) weighs_tokens: bool,
    /// Who may use the prompt's cached parts.
    pub(crate) cache_scope: &'call CacheScope,
    /// Software version that began the call's stream; no other may go on with it.
    pub(crate) software_version: Option<&'call str>,
    /// Whether the pool has targets of other versions, so that one which restarts may have another.
    pub(crate) is_mixed: bool,
    /// Instances among which the limits and places of targets are divided.
    pub(crate) senders: Senders<'call>,
    /// Refusals that a target of the pool has lately said it bears.
    pub(crate) pool_bound: Option<PoolBound>,
    /// What cold targets of the pool bear; `None` if their calls are not bounded.
    pub(crate) cold_pool: Option<ColdPool<'call>>,
}

impl<'call> PickContext<'call> {
    /// What the statements of `target` are weighed against at the moment.
    pub(crate) fn target_context(&self, target: &TargetState) -> CallContext<'call> {
        CallContext::new(target, self.senders, self.pool_bound, self.cold_pool)
    }

    /// Whether `target` is or may be cold, so that its calls are bounded.
    pub(crate) fn is_cold(&self, target: &TargetState) -> bool {
        let now = boot_time();
        self.cold_pool.is_some_and(|pool| pool.is_cold(target, now))
    }
}
