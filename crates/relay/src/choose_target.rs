//! Choice of the next target of a call, within the limits that targets state.

use {
    crate::{
        Declined, HeaderFormat, Reason, TargetState, View,
        active_call::ActiveCall,
        pick::{PickContext, PickedTarget, has_origin, has_other_software, pick},
        pool_bounds::PoolBound,
        refusal::{NO_TARGET_RETRY_AFTER, OVERLOADED_RETRY_AFTER},
        target_conditions::{CallContext, Obstacle},
        target_limit::Senders,
    },
    std::{collections::HashSet, time::Duration},
};

/// Why no target may take a call now.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NoTarget {
    /// What the caller is told; `None` if the reason is not known.
    pub(crate) declined: Option<Declined>,
    /// Whether a target bears few refusals, and this instance has no free place there.
    pub(crate) has_no_place: bool,
}

impl<Format> ActiveCall<Format>
where
    Format: HeaderFormat,
{
    /// Chooses the next target for the call, and takes the right to send a call there. Fails if no
    /// target may take the call, with a refusal if the reason is what targets state.
    pub(crate) fn choose_target(&mut self) -> Result<PickedTarget, NoTarget> {
        let (picked, in_flight) = self.with_pick_context(|view, context| {
            // Another call may take the last right to a target between its choice and this one.
            loop {
                let choice = pick(view, &self.pool, context);
                self.inner.count_passed_over(&choice.passed_over);
                let Some(picked) = choice.picked else {
                    return Err(NoTarget {
                        declined: self.no_target_refusal(context, choice.wait),
                        has_no_place: choice.passed_over.has(Obstacle::RefusalBound),
                    });
                };
                let call = context.target_context(&picked.target);
                if let Some(in_flight) = picked.target.call_stats.try_take_call(&call) {
                    return Ok((picked, in_flight));
                }
            }
        })?;
        self.in_flight = Some(in_flight);
        Ok(picked)
    }

    /// Records that a target refused the call for want of room.
    pub(crate) fn record_refusal(&self, target: &TargetState) {
        let view = self.inner.state.view();
        let call = CallContext::new(target, self.senders(&view), self.pool_bound());
        target.call_stats.record_refusal(&call);
    }

    /// Rendezvous seeds of the instances that may use places of targets which bear few refusals.
    pub(crate) fn place_holders(&self) -> HashSet<u64> {
        let view = self.inner.state.view();
        let (senders, pool_bound) = (self.senders(&view), self.pool_bound());
        let reach = self.reach(&view);
        let targets = reach.targets(&self.pool);
        let open = targets.filter(|target| !target.is_leaving());
        let bounded = open.filter_map(|target| {
            let call = CallContext::new(target, senders, pool_bound);
            target.call_stats.places(&call)
        });
        bounded
            .flat_map(|places| places.senders(senders.instance_seeds))
            .collect()
    }

    /// The instances among which limits and places are divided.
    fn senders<'view>(&self, view: &'view View) -> Senders<'view> {
        Senders {
            own_seed: self.inner.settings.instance_seed,
            instance_seeds: &view.instance_seeds,
        }
    }

    /// Refusals that a target of the call's pool has lately said it bears.
    fn pool_bound(&self) -> Option<PoolBound> {
        self.inner.pool_bounds.recent(&self.pool)
    }

    /// Declined for a call that no target may take, if the reason is known.
    fn no_target_refusal(
        &self,
        context: &PickContext<'_>,
        wait: Option<Duration>,
    ) -> Option<Declined> {
        if context.reach.leaves_none_of(&self.pool) {
            return Some(Declined::new(Reason::OutsideHomes).retry_after(NO_TARGET_RETRY_AFTER));
        }
        if let Some(version) = context.software_version
            && context.is_mixed
            && !has_origin(context.reach, &self.pool, version)
        {
            return Some(Reason::OriginGone.into());
        }
        wait.map(|wait| Declined::new(Reason::Overloaded).retry_after(wait))
    }

    /// Declined for a call that targets refused: it may come again once another target, or one of
    /// these, may take it.
    pub(crate) fn overloaded(&self) -> Declined {
        let wait = self.with_pick_context(|view, context| {
            let choice = pick(view, &self.pool, context);
            choice.wait.filter(|_| choice.picked.is_none())
        });
        Declined::new(Reason::Overloaded).retry_after(wait.unwrap_or(OVERLOADED_RETRY_AFTER))
    }

    /// Whether there is a target that may take the call now.
    pub(crate) fn can_choose_target(&self) -> bool {
        self.with_pick_context(|view, context| pick(view, &self.pool, context).picked.is_some())
    }

    /// Calls `choose` with the current view and the other inputs of a choice.
    pub(crate) fn with_pick_context<Choice, Choose>(&self, choose: Choose) -> Choice
    where
        Choose: FnOnce(&View, &PickContext<'_>) -> Choice,
    {
        let state = &self.inner.state;
        let view = state.view();
        let cache_index = state.cache_index();
        let peer_loads = state.peer_loads();
        let cache_scope = self.cache_scope(&view);
        let senders = self.senders(&view);
        let reach = self.reach(&view);
        let software_version = self.origin.software_version();
        let context = PickContext {
            call: &self.admitted.call,
            reach: &reach,
            tried_targets: &self.tried_targets,
            failure_domain: &self.inner.settings.failure_domain,
            now: self.inner.origin.elapsed(),
            stale_weights_grace: self.inner.settings.stale_weights_grace,
            random: rand::random(),
            cache_index: &cache_index,
            peer_loads: &peer_loads,
            cache_scope: &cache_scope,
            software_version,
            is_mixed: software_version
                .is_some_and(|version| has_other_software(&view, &self.pool, version)),
            senders,
            pool_bound: self.pool_bound(),
        };
        choose(&view, &context)
    }
}
