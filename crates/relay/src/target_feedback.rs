//! Records what attempts show about their targets, for later choices of a target.

use {
    crate::{
        HeaderFormat, ReplyMetadata,
        active_call::ActiveCall,
        attempt::{AttemptOutcome, TargetAnswer},
        boot_time,
        picked_target::PickedTarget,
        sent_attempt::describe_outcome,
        statement_log,
    },
    balance::CallOutcome,
    eventlog::Event,
    hyper::StatusCode,
    std::time::Duration,
    target::AnswersRequest,
};

/// Time for which calls avoid a target after it refused one without running it, because it is
/// overloaded or carries out an order such as loading weights.
const REFUSAL_PAUSE: Duration = Duration::from_millis(200);

impl<Format> ActiveCall<Format>
where
    Format: HeaderFormat,
{
    /// Records what the target states of itself in the head of an answer to the call.
    pub(crate) fn observe_answer(
        &self,
        picked: &PickedTarget,
        status: StatusCode,
        metadata: &ReplyMetadata,
        _: &AnswersRequest,
    ) {
        if !is_other_target(picked, metadata) {
            let (target, statements) = (&picked.target, &metadata.statements);
            let (log, meters) = (&self.inner.log, &self.inner.meters);
            statement_log::record_answer(target, status, statements, log, meters);
            self.inner.pool_bounds.record(&self.pool, statements);
        }
    }

    /// Records what the final answer shows about its target, and about the `suspects` that answered
    /// the same call with an error status before.
    ///
    /// If several targets fail the call, the call itself is at fault and no target is blamed. If
    /// another target succeeds, the suspects are at fault. Without suspects, an error status counts
    /// against the target that gave it.
    pub(crate) fn record_answer(
        &self,
        picked: &PickedTarget,
        answer: &TargetAnswer,
        suspects: &[PickedTarget],
    ) {
        self.record_version(picked, answer.metadata.version);
        let failed = answer.status.is_server_error();
        if failed && suspects.is_empty() {
            self.record_outcome(picked, CallOutcome::Failed, "failed a call");
            return;
        }
        self.record_outcome(picked, CallOutcome::Answered, "");
        let suspects_outcome = if failed {
            CallOutcome::Answered
        } else {
            CallOutcome::Failed
        };
        self.record_suspects(suspects, suspects_outcome);
    }

    /// Records `outcome` for targets that answered the call with an error status.
    pub(crate) fn record_suspects(&self, suspects: &[PickedTarget], outcome: CallOutcome) {
        for suspect in suspects {
            self.record_outcome(
                suspect,
                outcome,
                "failed a call that no other target failed",
            );
        }
    }

    /// Records what an attempt without an answer shows about its target.
    pub(crate) fn record_attempt(
        &self,
        picked: &PickedTarget,
        attempt_outcome: &AttemptOutcome<TargetAnswer>,
    ) {
        let now = self.inner.origin.elapsed();
        let reachability = &self.inner.state.reachability;
        reachability.record_attempt(&self.pool, &picked.target, attempt_outcome);
        let outcome = match attempt_outcome {
            AttemptOutcome::Answered(_) => {
                let in_flight_count = picked.own_in_flight_count + 1;
                let call_stats = &picked.target.call_stats;
                call_stats.record_accepted(in_flight_count, boot_time());
                // Judged by `record_answer`, together with the other answers to the call.
                return;
            }
            AttemptOutcome::NotRun(StatusCode::MISDIRECTED_REQUEST, metadata, _) => {
                self.record_misdirected(picked, metadata);
                CallOutcome::Full
            }
            AttemptOutcome::NotRun(..) => {
                self.record_refusal(&picked.target);
                picked.target.call_stats.pause(now + REFUSAL_PAUSE);
                CallOutcome::Full
            }
            AttemptOutcome::Unknown {
                disconnected: true, ..
            } => {
                picked.target.call_stats.record_disconnect(boot_time());
                CallOutcome::Failed
            }
            AttemptOutcome::NotSent(..) => {
                picked.target.call_stats.record_unreached(boot_time());
                CallOutcome::Failed
            }
            AttemptOutcome::Unknown { .. } => CallOutcome::Failed,
        };
        self.record_outcome(picked, outcome, &describe_outcome(attempt_outcome));
    }

    /// Records an outcome of a call at a target, and logs `reason` if the target is ejected now.
    fn record_outcome(&self, picked: &PickedTarget, outcome: CallOutcome, reason: &str) {
        let now = self.inner.origin.elapsed();
        if picked.target.call_stats.record_outcome(outcome, now) {
            self.inner.log.emit(&Event::LeftOut {
                target: picked.target.id.clone(),
                reason: reason.to_owned(),
            });
        }
    }

    /// Records the version of the weights that ran the call, if it has a prompt.
    fn record_version(&self, picked: &PickedTarget, version: Option<u64>) {
        let prompt = self.admitted.call.prompt.as_ref();
        if let (Some(prompt), Some(version)) = (prompt, version) {
            picked
                .target
                .call_stats
                .record_version(&prompt.model, version);
        }
    }

    /// Handles a 421 refusal: the call reached another target than intended, or the target has
    /// other weights than assumed.
    ///
    /// If another target answered, the intended one is paused. Otherwise, the target is taken to
    /// have at least the next wanted version. If no newer version is wanted, it must have an older
    /// one: the version that answers have shown is forgotten, so that the target's own report
    /// counts again, and the target is paused.
    fn record_misdirected(&self, picked: &PickedTarget, metadata: &ReplyMetadata) {
        let call_stats = &picked.target.call_stats;
        let is_other_target = is_other_target(picked, metadata);
        let newer = self.version_after(picked);
        if !is_other_target && newer.is_some() {
            self.record_version(picked, newer);
            return;
        }
        call_stats.pause(self.inner.origin.elapsed() + REFUSAL_PAUSE);
        if let Some(prompt) = self
            .admitted
            .call
            .prompt
            .as_ref()
            .filter(|_| !is_other_target)
        {
            call_stats.forget_version(&prompt.model);
        }
    }

    /// The first wanted version after the one that the target was assumed to have.
    fn version_after(&self, picked: &PickedTarget) -> Option<u64> {
        let prompt = self.admitted.call.prompt.as_ref()?;
        let view = self.inner.state.view();
        let wanted = view.wanted_versions.get(&prompt.model)?;
        wanted.version_after(picked.weights.version)
    }
}

/// Whether the answer names another target than the one that was meant.
fn is_other_target(picked: &PickedTarget, metadata: &ReplyMetadata) -> bool {
    let answering = metadata.target.as_ref();
    answering.is_some_and(|id| *id != picked.target.id)
}
