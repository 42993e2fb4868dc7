//! Sends a call to one target after another until it is answered or fails.

use {
    crate::{
        Declined, HeaderFormat, Reason,
        active_call::{ActiveCall, MIN_TIME_LEFT},
        attempt::{AttemptOutcome, TargetAnswer},
        boot_time,
        call_recorder::CallRecorder,
        refusal::{NO_TARGET_RETRY_AFTER, Unanswered},
        retry_budgets::RetryNeed,
        sent_attempt::describe_outcome,
    },
    balance::CallOutcome,
    std::{sync::atomic::Ordering, time::Duration},
};

/// Maximum number of targets tried per call, including those that were unreachable or did not run
/// it.
pub(crate) const MAX_TRIED_TARGETS_COUNT: usize = 4;

impl<Format> ActiveCall<Format>
where
    Format: HeaderFormat,
{
    /// Sends the call to one target after another until one answers. With `last_event_id`, resumes
    /// a stream after that event.
    ///
    /// Another target is tried only if the previous one did not run the call or if the call may run
    /// again, only while time is left (also until a shutdown), and only while fewer than
    /// [`MAX_TRIED_TARGETS_COUNT`] were tried. Each retry takes one from the pool's retry budget,
    /// unless no byte was sent to the previous target. A call that crashes targets, or with a part that
    /// does, is refused, or given up if it has crashed one. If targets answered with a 5xx status and no
    /// later one gives a final answer, the last 5xx answer is returned.
    pub(crate) async fn run(
        &mut self,
        recorder: &mut CallRecorder,
        last_event_id: Option<u64>,
    ) -> Result<TargetAnswer, Unanswered> {
        let mut last_declined = Declined::new(Reason::NoTarget).retry_after(NO_TARGET_RETRY_AFTER);
        let mut error_answer = None;
        let mut suspects = Vec::new();
        while self.tried_targets.len() < MAX_TRIED_TARGETS_COUNT && self.time_left() > MIN_TIME_LEFT
        {
            if let Err(declined) = self.check_attempt(recorder, last_event_id) {
                last_declined = declined.unwrap_or(last_declined);
                break;
            }
            let picked = match self.choose_target() {
                Ok(picked) => picked,
                Err(no_target) => {
                    self.has_no_place = no_target.has_no_place;
                    recorder.line.cold_targets_count = no_target.cold_targets_count;
                    last_declined = no_target.declined.unwrap_or(last_declined);
                    break;
                }
            };
            // A call that is passed on without an attempt counts where it is attempted.
            if last_event_id.is_none() && self.tried_targets.is_empty() {
                let instances_count = self.instances_count();
                self.inner
                    .retry_budgets
                    .record_call(&self.pool, instances_count);
            }
            let target = &picked.target.id;
            recorder.begin_attempt(&picked);
            self.tried_targets.push(target.clone());
            let sent_at = boot_time();
            let outcome = self.send(&picked, last_event_id, recorder).await;
            recorder.end_attempt(describe_outcome(&outcome));
            self.record_attempt(&picked, &outcome);
            if matches!(outcome, AttemptOutcome::NotSent(..)) {
                self.unreachable_count += 1;
            }
            if matches!(outcome, AttemptOutcome::Unknown { .. }) {
                self.record_identity(recorder);
            }
            let (declined, counts_as_retry) = match outcome {
                AttemptOutcome::Answered(answer) => {
                    if !self.should_try_another(&answer) || !self.try_retry(RetryNeed::Needed) {
                        self.record_answer(&picked, &answer, &suspects);
                        self.record_origin(&picked, &answer);
                        return Ok(answer);
                    }
                    suspects.push(picked);
                    error_answer = Some(answer);
                    continue;
                }
                AttemptOutcome::NotSent(_, not_run) => {
                    self.holder.take_back(not_run);
                    (last_declined, false)
                }
                AttemptOutcome::NotRun(_, _, not_run) => {
                    self.holder.take_back(not_run);
                    (self.overloaded(), true)
                }
                AttemptOutcome::Unknown { disconnected, .. } => {
                    if disconnected && last_event_id.is_none() {
                        self.report_disconnect(&picked, sent_at);
                    }
                    if !self.can_run_again() || self.may_have_crashed_target() {
                        break;
                    }
                    (last_declined, true)
                }
            };
            last_declined = declined;
            let has_retry = self.has_reserved_retry.swap(false, Ordering::Relaxed);
            if counts_as_retry && !has_retry && !self.try_retry(RetryNeed::Needed) {
                break;
            }
        }
        if let Some(error_answer) = error_answer {
            self.record_suspects(&suspects, CallOutcome::Failed);
            return Ok(error_answer);
        }
        if !self.holder.is_nobody() {
            return Err(Unanswered::Lost(self.lost_answer()));
        }
        if self.time_left() <= MIN_TIME_LEFT {
            last_declined = Reason::TooLate.into();
        }
        Err(last_declined.into())
    }

    /// Checks whether the call may be sent to a target now. Fails without a refusal of its own if this
    /// instance reaches no target of the pool, so that the call is passed on.
    fn check_attempt(
        &self,
        recorder: &mut CallRecorder,
        last_event_id: Option<u64>,
    ) -> Result<(), Option<Declined>> {
        // For a resumed stream, the stream forwarder has checked the time once, before the attempts.
        if last_event_id.is_none() {
            self.check_shutdown(recorder)?;
        }
        self.check_quarantine(recorder)?;
        if self.has_reached_no_target() && self.is_cut_off() {
            return Err(None);
        }
        if last_event_id.is_none() {
            self.check_overload(recorder)?;
        }
        Ok(())
    }

    /// Whether another target should be tried because this one answered with an error status.
    fn should_try_another(&self, answer: &TargetAnswer) -> bool {
        answer.status.is_server_error()
            && self.can_run_again()
            && self.time_left() > MIN_TIME_LEFT
            && self.can_finish_elsewhere_after(Duration::ZERO)
    }
}
