//! Whether a call is refused because its pool has too little room.

use {
    crate::{
        Declined, HeaderFormat, Prompt, Reason, active_call::ActiveCall, boot_time,
        call_recorder::CallRecorder, pick::rooms, picked_target::PickedTarget,
        start_observation::StartObservation,
    },
    balance::rendezvous,
    overload::{Assessment, CallNeeds, Decision, PoolState, RefusalCause},
};

impl<Format> ActiveCall<Format>
where
    Format: HeaderFormat,
{
    /// Refuses a call that costs callers least while its pool has too little room, or that cannot start
    /// in time. Never refuses a call that was sent to a target, that resumes a stream, or that another
    /// instance passed on.
    pub(crate) fn check_overload(&self, recorder: &mut CallRecorder) -> Result<(), Declined> {
        let call = &self.admitted.call;
        let resumes = call.last_event_id.is_some() || call.resumes.is_some();
        if !self.tried_targets.is_empty() || resumes || recorder.line.is_forwarded {
            return Ok(());
        }
        let Some(assessment) = self.assess_overload() else {
            return Ok(());
        };
        recorder.record_assessment(&assessment);
        let Decision::Refuse { cause, retry_after } = assessment.decision else {
            return Ok(());
        };
        let (reason, label) = match cause {
            RefusalCause::Pressure => (Reason::Pressure, "pressure"),
            RefusalCause::CannotStart => (Reason::CannotStart, "cannot_start"),
        };
        recorder.count_overload_refusal(label, self.admitted.priority());
        Err(Declined::new(reason).retry_after(retry_after))
    }

    /// Observes when the call starts at `picked`; `None` for a call without a prompt, or with too few
    /// instances for admission control.
    pub(crate) fn observe_start(&self, picked: &PickedTarget) -> Option<StartObservation<Format>> {
        let prompt = self.admitted.call.prompt.as_ref()?;
        self.has_overload_control().then(|| {
            StartObservation::new(
                self.inner.clone(),
                self.pool.clone(),
                self.admitted.priority(),
                work_tokens(prompt),
                picked.in_flight_count + 1.0,
            )
        })
    }

    /// Whether there are enough instances for admission control.
    fn has_overload_control(&self) -> bool {
        self.inner.settings.is_large_fleet(self.instances_count())
    }

    /// Decides whether the call runs; `None` if admission control does not cover it.
    fn assess_overload(&self) -> Option<Assessment> {
        let prompt = self.admitted.call.prompt.as_ref()?;
        if !self.has_overload_control() {
            return None;
        }
        let now = self.inner.origin.elapsed();
        let controls = &self.inner.overload_controls;
        let mean_tokens = controls.with(&self.pool, |control| control.mean_tokens(now));
        let (targets, instances_count) = self.with_pick_context(|view, context| {
            let targets = rooms(view, &self.pool, context, mean_tokens);
            (targets, view.instances_count)
        });
        let peer_loads = self.inner.state.peer_loads();
        let covered_count = peer_loads.covered_count(PoolState::MAX_LOADS_AGE, boot_time());
        drop(peer_loads);
        let route = &self.admitted.route;
        let account = self.admitted.account.as_ref();
        let needs = CallNeeds {
            priority: self.admitted.priority(),
            account: account.map_or("", |account| &account.name),
            tokens_count: work_tokens(prompt),
            latency_objective: route.latency_objective,
            time_limit: route.time_limit,
            time_left: self.time_left(),
            draw: rendezvous::key_seed(self.admitted.call.id.as_bytes()),
        };
        let assessment = controls.with(&self.pool, |control| {
            let pool = PoolState {
                targets: &targets,
                covered_count: covered_count.saturating_add(1),
                instances_count,
            };
            control.assess(&pool, &needs, now)
        });
        Some(assessment)
    }
}

/// Work that a prompt needs, in tokens: the part that no other call shares, and the longest output.
/// Shared parts are mostly held by engines or stores.
fn work_tokens(prompt: &Prompt) -> u32 {
    let shared = prompt.parts.split_last().map(|(_, shared)| shared);
    let shared = shared.into_iter().flatten();
    let shared_tokens: u64 = shared.map(|part| u64::from(part.tokens)).sum();
    let shared_tokens = u32::try_from(shared_tokens).unwrap_or(u32::MAX);
    let unread_tokens = prompt.input_tokens.saturating_sub(shared_tokens);
    unread_tokens
        .saturating_add(prompt.max_output_tokens)
        .max(1)
}
