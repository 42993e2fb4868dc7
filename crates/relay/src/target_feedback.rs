//! What a try shows of its target, for the choices after it.

use {
    crate::{
        HeaderFormat, ReplyMetadata,
        active_call::{ActiveCall, describe_outcome},
        attempt::{AttemptOutcome, TargetAnswer},
        pick::PickedTarget,
    },
    balance::Outcome,
    eventlog::Event,
    hyper::StatusCode,
    std::time::Duration,
};

/// Time that a target which refused for its load or for an order is left alone.
const REFUSAL_PAUSE: Duration = Duration::from_millis(200);

impl<Format> ActiveCall<Format>
where
    Format: HeaderFormat,
{
    /// Remembers what an answer has shown of its target, and of the `suspects` that answered the same
    /// call with a failure of theirs before.
    ///
    /// A call that fails at one target after the other fails by itself and shows nothing of them; one
    /// that another target answers shows that the fault was theirs.
    pub(crate) fn record_answer(
        &self,
        picked: &PickedTarget,
        answer: &TargetAnswer,
        suspects: &[PickedTarget],
    ) {
        self.record_version(picked, answer.metadata.version);
        let failed = answer.status.is_server_error();
        if failed && suspects.is_empty() {
            self.record_outcome(picked, Outcome::Failed, "failed a call");
            return;
        }
        self.record_outcome(picked, Outcome::Answered, "");
        let suspects_outcome = if failed {
            Outcome::Answered
        } else {
            Outcome::Failed
        };
        self.record_suspects(suspects, suspects_outcome);
    }

    /// Remembers whose fault the failures of `suspects` were.
    pub(crate) fn record_suspects(&self, suspects: &[PickedTarget], outcome: Outcome) {
        for suspect in suspects {
            self.record_outcome(
                suspect,
                outcome,
                "failed a call that no other target failed",
            );
        }
    }

    /// Remembers what a try that gave no answer has shown of its target.
    pub(crate) fn record_attempt(
        &self,
        picked: &PickedTarget,
        attempt_outcome: &AttemptOutcome<TargetAnswer>,
    ) {
        let now = self.inner.origin.elapsed();
        let outcome = match attempt_outcome {
            // Shows more together with the call's other answers.
            AttemptOutcome::Answered(_) => return,
            AttemptOutcome::NotRun(StatusCode::MISDIRECTED_REQUEST, metadata) => {
                self.record_misdirected(picked, metadata);
                Outcome::Full
            }
            AttemptOutcome::NotRun(..) => {
                picked.target.call_stats.pause(now + REFUSAL_PAUSE);
                Outcome::Full
            }
            AttemptOutcome::NotSent(_) | AttemptOutcome::Unknown(_) => Outcome::Failed,
        };
        self.record_outcome(picked, outcome, &describe_outcome(attempt_outcome));
    }

    fn record_outcome(&self, picked: &PickedTarget, outcome: Outcome, reason: &str) {
        let now = self.inner.origin.elapsed();
        if picked.target.call_stats.record_outcome(outcome, now) {
            self.inner.log.emit(&Event::LeftOut {
                target: picked.target.id.clone(),
                reason: reason.to_owned(),
            });
        }
    }

    fn record_version(&self, picked: &PickedTarget, version: Option<u64>) {
        let prompt = self.admitted.call.prompt.as_ref();
        if let (Some(prompt), Some(version)) = (prompt, version) {
            picked
                .target
                .call_stats
                .record_version(&prompt.model, version);
        }
    }

    /// The target is another one, or has other weights than was thought: at least the next ones that
    /// were named, or, if there are none, older ones.
    fn record_misdirected(&self, picked: &PickedTarget, metadata: &ReplyMetadata) {
        let call_stats = &picked.target.call_stats;
        let is_other = metadata
            .target
            .as_ref()
            .is_some_and(|id| *id != picked.target.id);
        let newer = self.version_after(picked);
        if !is_other && newer.is_some() {
            self.record_version(picked, newer);
            return;
        }
        call_stats.pause(self.inner.origin.elapsed() + REFUSAL_PAUSE);
        if let Some(prompt) = self.admitted.call.prompt.as_ref().filter(|_| !is_other) {
            call_stats.forget_version(&prompt.model);
        }
    }

    /// The first version that was named after the one that the target was taken to have.
    fn version_after(&self, picked: &PickedTarget) -> Option<u64> {
        let prompt = self.admitted.call.prompt.as_ref()?;
        let view = self.inner.state.view();
        let wanted = view.wanted_versions.get(&prompt.model)?;
        wanted.version_after(picked.weights.version)
    }
}
