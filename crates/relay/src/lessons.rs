//! What a try shows of its target, for the choices after it.

use {
    crate::{
        HeaderFormat, ReplyMetadata,
        attempt::{AttemptOutcome, TargetAnswer},
        pick::Picked,
        run::{Job, describe},
    },
    balance::CallOutcome,
    eventlog::Event,
    hyper::StatusCode,
    std::time::Duration,
};

/// Time that a target which refused for its load or for an order is left alone.
const PAUSE: Duration = Duration::from_millis(200);

impl<Format> Job<Format>
where
    Format: HeaderFormat,
{
    /// Remembers what an answer has shown of its target, and of the `suspects` that answered the same
    /// call with a failure of theirs before.
    ///
    /// A call that fails at one target after the other fails by itself and shows nothing of them; one
    /// that another target answers shows that the fault was theirs.
    pub(crate) fn note_answer(&self, picked: &Picked, answer: &TargetAnswer, suspects: &[Picked]) {
        self.note_version(picked, answer.notes.version);
        let failed = answer.status.is_server_error();
        if failed && suspects.is_empty() {
            self.record(picked, CallOutcome::Failed, "failed a call");
            return;
        }
        self.record(picked, CallOutcome::Answered, "");
        let of_suspects = if failed {
            CallOutcome::Answered
        } else {
            CallOutcome::Failed
        };
        self.note_suspects(suspects, of_suspects);
    }

    /// Remembers whose fault the failures of `suspects` were.
    pub(crate) fn note_suspects(&self, suspects: &[Picked], outcome: CallOutcome) {
        for suspect in suspects {
            self.record(
                suspect,
                outcome,
                "failed a call that no other target failed",
            );
        }
    }

    /// Remembers what a try that gave no answer has shown of its target.
    pub(crate) fn note(&self, picked: &Picked, tried: &AttemptOutcome<TargetAnswer>) {
        let now = self.inner.origin.elapsed();
        let outcome = match tried {
            // Shows more together with the call's other answers.
            AttemptOutcome::Answered(_) => return,
            AttemptOutcome::NotRun(StatusCode::MISDIRECTED_REQUEST, notes) => {
                self.note_misdirected(picked, notes);
                CallOutcome::Full
            }
            AttemptOutcome::NotRun(..) => {
                picked.target.call_stats.pause(now + PAUSE);
                CallOutcome::Full
            }
            AttemptOutcome::NotSent(_) | AttemptOutcome::Unknown(_) => CallOutcome::Failed,
        };
        self.record(picked, outcome, &describe(tried));
    }

    fn record(&self, picked: &Picked, outcome: CallOutcome, reason: &str) {
        let now = self.inner.origin.elapsed();
        if picked.target.call_stats.record_outcome(outcome, now) {
            self.inner.log.emit(&Event::LeftOut {
                target: picked.target.id.clone(),
                reason: reason.to_owned(),
            });
        }
    }

    fn note_version(&self, picked: &Picked, version: Option<u64>) {
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
    fn note_misdirected(&self, picked: &Picked, notes: &ReplyMetadata) {
        let call_stats = &picked.target.call_stats;
        let is_other = notes
            .target
            .as_ref()
            .is_some_and(|id| *id != picked.target.id);
        let newer = self.version_after(picked);
        if !is_other && newer.is_some() {
            self.note_version(picked, newer);
            return;
        }
        call_stats.pause(self.inner.origin.elapsed() + PAUSE);
        if let Some(prompt) = self.admitted.call.prompt.as_ref().filter(|_| !is_other) {
            call_stats.forget_version(&prompt.model);
        }
    }

    /// The first version that was named after the one that the target was taken to have.
    fn version_after(&self, picked: &Picked) -> Option<u64> {
        let prompt = self.admitted.call.prompt.as_ref()?;
        let view = self.inner.followed.view();
        let wanted = view.wanted_versions.get(&prompt.model)?;
        wanted.version_after(picked.weights.version)
    }
}
