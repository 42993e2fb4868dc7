//! Choice of the next target of a call, within the limits that targets state.

use {
    crate::{
        ColdPool, Declined, HeaderFormat, Prompt, Reason, TargetState, View,
        active_call::ActiveCall,
        boot_time,
        call_tokens::CallTokens,
        pick::{are_all_evacuated, has_origin, has_other_software, pick},
        pick_context::PickContext,
        picked_target::PickedTarget,
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
    /// Whether a target bears few refusals, and this instance has no free place there, or only cold
    /// targets are left of which other instances use all that they bear.
    pub(crate) has_no_place: bool,
    /// Number of targets that were passed over since they are or may be cold.
    pub(crate) cold_targets_count: u32,
}

impl<Format> ActiveCall<Format>
where
    Format: HeaderFormat,
{
    /// Chooses the next target for the call, and takes the right to send a call there. Fails if no
    /// target may take the call, with a refusal if the reason is what targets state.
    pub(crate) fn choose_target(&mut self) -> Result<PickedTarget, NoTarget> {
        let prompt = self.admitted.call.prompt.as_ref();
        let held_count = prompt.map_or(0, Prompt::expected_tokens);
        let (picked, in_flight) = self.with_pick_context(|view, context| {
            self.note_lost_connections(context);
            // Another call may take the last right to a target between its choice and this one.
            loop {
                let choice = pick(view, &self.pool, context);
                self.inner.count_passed_over(&choice.passed_over);
                let Some(picked) = choice.picked else {
                    return Err(NoTarget {
                        declined: self.no_target_refusal(view, context, choice.wait),
                        has_no_place: choice.passed_over.has(Obstacle::RefusalBound)
                            || choice.has_no_cold_share,
                        cold_targets_count: choice.passed_over.count(Obstacle::Cold),
                    });
                };
                let call = context.target_context(&picked.target);
                let tokens = CallTokens {
                    held_count,
                    unread_count: picked.unread_tokens_count,
                };
                if let Some(in_flight) = picked.target.call_stats.try_take_call(&call, tokens) {
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
        let cold_pool = self.cold_pool(&view);
        let call = CallContext::new(target, self.senders(&view), self.pool_bound(), cold_pool);
        target.call_stats.record_refusal(&call);
    }

    /// Rendezvous seeds of the instances that may use places of targets which bear few refusals, or
    /// send calls to cold targets.
    pub(crate) fn place_holders(&self) -> HashSet<u64> {
        let view = self.inner.state.view();
        let (senders, pool_bound) = (self.senders(&view), self.pool_bound());
        let cold_pool = self.cold_pool(&view);
        let reach = self.reach(&view);
        let targets = reach.targets(&self.pool);
        let open = targets.filter(|target| !target.is_leaving());
        let mut holders = HashSet::new();
        for target in open {
            let call = CallContext::new(target, senders, pool_bound, cold_pool);
            if let Some(places) = target.call_stats.places(&call) {
                holders.extend(places.senders(senders.instance_seeds));
            }
            if let Some(pool) = cold_pool.filter(|pool| pool.is_cold(target, call.now)) {
                let bound = pool.bound(target.seed);
                holders.extend(bound.senders(senders.instance_seeds));
            }
        }
        holders
    }

    /// The instances among which limits and places are divided.
    fn senders<'view>(&self, view: &'view View) -> Senders<'view> {
        Senders {
            own_seed: self.inner.settings.instance_seed,
            instance_seeds: &view.instance_seeds,
        }
    }

    /// What cold targets of the call's pool bear; `None` if their calls are not bounded.
    fn cold_pool<'view>(&self, view: &'view View) -> Option<ColdPool<'view>> {
        let settings = &self.inner.settings;
        let allowance = settings.cold_allowance?;
        ColdPool::new(view, &self.pool, allowance, settings.instance_seed)
    }

    /// Refusals that a target of the call's pool has lately said it bears.
    fn pool_bound(&self) -> Option<PoolBound> {
        self.inner.pool_bounds.recent(&self.pool)
    }

    /// Declined for a call that no target may take, if the reason is known.
    fn no_target_refusal(
        &self,
        view: &View,
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
        if are_all_evacuated(view, &self.pool, context) {
            return Some(Declined::new(Reason::Evacuated).retry_after(NO_TARGET_RETRY_AFTER));
        }
        wait.map(|wait| Declined::new(Reason::Overloaded).retry_after(wait))
    }

    /// Declined for a call that targets refused: it may come again once another target, or one of
    /// these, may take it.
    pub(crate) fn overloaded(&self) -> Declined {
        let wait = self.with_pick_context(|view, context| {
            self.note_lost_connections(context);
            let choice = pick(view, &self.pool, context);
            choice.wait.filter(|_| choice.picked.is_none())
        });
        Declined::new(Reason::Overloaded).retry_after(wait.unwrap_or(OVERLOADED_RETRY_AFTER))
    }

    /// Whether there is a target that may take the call now.
    pub(crate) fn can_choose_target(&self) -> bool {
        self.with_pick_context(|view, context| {
            self.note_lost_connections(context);
            pick(view, &self.pool, context).picked.is_some()
        })
    }

    /// Records which targets that bear few calls while they are cold may have restarted, since they have
    /// ended idle connections. To be called before a choice, since such a target counts as cold there.
    fn note_lost_connections(&self, context: &PickContext<'_>) {
        if context.cold_pool.is_none() {
            return;
        }
        let now = boot_time();
        for target in context.reach.targets(&self.pool) {
            if self.inner.client.has_lost_idle(target.address) {
                target.call_stats.record_unreached(now);
            }
        }
    }

    /// Records that all targets of the pool may restart while this instance reaches none of them.
    pub(crate) fn note_unreached_pool(&self) {
        let view = self.inner.state.view();
        let now = boot_time();
        for target in self.reach(&view).targets(&self.pool) {
            target.call_stats.record_unreached(now);
        }
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
        let cold_pool = self.cold_pool(&view);
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
            weighs_tokens: self.inner.settings.is_large_fleet(view.instances_count),
            cache_scope: &cache_scope,
            software_version,
            is_mixed: software_version
                .is_some_and(|version| has_other_software(&view, &self.pool, version)),
            senders,
            pool_bound: self.pool_bound(),
            cold_pool,
        };
        choose(&view, &context)
    }
}
