//! Choice of the next target of a call, within the limits that targets state.

use crate::{
    HeaderFormat, Reason, Refusal, View,
    active_call::ActiveCall,
    boot_time,
    pick::{
        PickContext, PickedTarget, has_origin, has_other_software, pick, time_until_limits_allow,
    },
    target_limit::Senders,
};

impl<Format> ActiveCall<Format>
where
    Format: HeaderFormat,
{
    /// Chooses the next target for the call, and takes the right to send a call there if the target
    /// has a limit. Fails if no target may take the call, with a refusal if limits are the reason.
    pub(crate) fn choose_target(&self) -> Result<PickedTarget, Option<Refusal>> {
        self.with_pick_context(|view, context| {
            // Another call may take the last right to a target between its choice and this one.
            while let Some(picked) = pick(view, &self.pool, context) {
                let target = &picked.target;
                if target
                    .call_stats
                    .try_take_call(target.seed, context.senders, boot_time())
                {
                    return Ok(picked);
                }
            }
            if let Some(version) = context.software_version
                && !has_origin(view, &self.pool, version)
            {
                return Err(Some(Reason::OriginGone.into()));
            }
            let wait = time_until_limits_allow(view, &self.pool, context);
            Err(wait.map(|wait| Refusal::new(Reason::Overloaded).retry_after(wait)))
        })
    }

    /// Whether there is a target that may take the call now.
    pub(crate) fn can_choose_target(&self) -> bool {
        self.with_pick_context(|view, context| pick(view, &self.pool, context).is_some())
    }

    /// Calls `choose` with the current view and the other inputs of a choice.
    fn with_pick_context<Choice, Choose>(&self, choose: Choose) -> Choice
    where
        Choose: FnOnce(&View, &PickContext<'_>) -> Choice,
    {
        let state = &self.inner.state;
        let view = state.view();
        let cache_index = state.cache_index();
        let peer_loads = state.peer_loads();
        let senders = Senders {
            own_seed: self.inner.settings.instance_seed,
            instance_seeds: &view.instance_seeds,
        };
        let software_version = self.origin.software_version();
        let context = PickContext {
            call: &self.admitted.call,
            tried_targets: &self.tried_targets,
            failure_domain: &self.inner.settings.failure_domain,
            now: self.inner.origin.elapsed(),
            stale_weights_grace: self.inner.settings.stale_weights_grace,
            random: rand::random(),
            cache_index: &cache_index,
            peer_loads: &peer_loads,
            isolated_account: self.isolated_account(),
            software_version,
            is_mixed: software_version
                .is_some_and(|version| has_other_software(&view, &self.pool, version)),
            senders,
        };
        choose(&view, &context)
    }
}
