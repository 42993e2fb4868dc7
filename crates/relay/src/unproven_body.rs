//! Another run of a call whose body nothing proves to be complete.

use {
    crate::{
        HeaderFormat,
        active_call::ActiveCall,
        attempt::{Content, TargetAnswer},
        call_recorder::CallRecorder,
        retry_budgets::RetryNeed,
    },
    std::time::Duration,
    target::EndEvidence,
    tokio::time::timeout,
};

/// Time within which another target runs a call once more, or goes on with its stream, since nothing proves that its
/// answer is complete. Its caller waits, and has all already, as far as is known.
pub(crate) const PROOF_TIME: Duration = Duration::from_secs(1);

impl<Format> ActiveCall<Format>
where
    Format: HeaderFormat,
{
    /// Has another target answer once more if nothing proves that `answer` is complete, and the route allows it.
    /// Returns `answer` if none does in time.
    pub(crate) async fn replace_unproven(
        &mut self,
        answer: TargetAnswer,
        recorder: &mut CallRecorder,
    ) -> TargetAnswer {
        let Some(need) = retry_need(&answer) else {
            return answer;
        };
        if !self.can_move() || !self.try_retry(need) {
            return answer;
        }
        let running = timeout(PROOF_TIME, self.run(recorder, None)).await;
        match running {
            Ok(Ok(other)) if other.status.is_success() => other,
            Ok(_) => answer,
            Err(_) => {
                recorder.end_attempt("dropped: the answer before it is kept".to_owned());
                answer
            }
        }
    }
}

/// How much a call needs another run since nothing proves that its body is complete; `None` if it needs none. Where a
/// connection was open before the call was sent, its target gives no better evidence: each call would run twice.
fn retry_need(answer: &TargetAnswer) -> Option<RetryNeed> {
    let Content::Whole(_, whole) = &answer.content else {
        return None;
    };
    let need = match whole.evidence() {
        EndEvidence::Framing
        | EndEvidence::AnsweredBefore
        | EndEvidence::AnsweredBeside
        | EndEvidence::OpenedBefore => None,
        EndEvidence::OpenedBeside => Some(RetryNeed::Surplus),
        // A cut would not have been seen.
        EndEvidence::OpenedAfter => Some(RetryNeed::Needed),
    };
    need.filter(|_| answer.status.is_success())
}
