//! Which calls a stopping instance still takes, and how it ends those that are left.

use {
    crate::{
        Declined, HeaderFormat, KnownDuration, LostAnswer, Reason, Refusal,
        active_call::ActiveCall,
        boot_time,
        call_holder::CallHolder,
        call_recorder::{CallRecorder, millis},
        refusal::Unanswered,
    },
    std::time::Duration,
};

/// Time reserved for switching to another target.
const FAILOVER_TIME: Duration = Duration::from_millis(200);

impl<Format> ActiveCall<Format>
where
    Format: HeaderFormat,
{
    /// Refusal for a call that got no answer. It promises that the call has not run only if nobody has
    /// it, whatever ended the call.
    pub(crate) fn refusal(self, unanswered: Unanswered) -> Refusal {
        let lost_answer = self.lost_answer();
        match (self.holder, unanswered) {
            (_, Unanswered::Lost(lost)) => Refusal::unknown(lost),
            (CallHolder::Nobody(not_run), Unanswered::Declined(declined)) => {
                Refusal::not_run(declined, not_run)
            }
            (CallHolder::Nobody(not_run), Unanswered::Cut) => {
                Refusal::not_run(Reason::ShuttingDown.into(), not_run)
            }
            (CallHolder::Target(_) | CallHolder::Instance(_), Unanswered::Declined(_)) => {
                Refusal::unknown(lost_answer)
            }
            (CallHolder::Target(_) | CallHolder::Instance(_), Unanswered::Cut) => {
                Refusal::unknown(LostAnswer::Cut)
            }
        }
    }

    /// Refuses the call if the instance is shutting down and the call may outlast it.
    pub(crate) fn check_shutdown(&self, recorder: &mut CallRecorder) -> Result<(), Declined> {
        let Some(shutdown) = self.inner.state.view().shutdown else {
            return Ok(());
        };
        let now = boot_time();
        let expected = shutdown.time_to_take(&self.known_duration(), now);
        recorder.line.expected_ms = millis(expected);
        if shutdown.can_finish(expected, now) {
            Ok(())
        } else {
            Err(shutdown.refusal(now, rand::random()))
        }
    }

    /// Whether another target that starts the call after `wait` plus the failover time is expected
    /// to finish by the shutdown's answer deadline; true if the instance is not shutting down.
    pub(crate) fn can_finish_elsewhere_after(&self, wait: Duration) -> bool {
        self.inner.state.view().shutdown.is_none_or(|shutdown| {
            let start = boot_time() + wait + FAILOVER_TIME;
            shutdown.can_finish(
                shutdown.expected_duration(&self.known_duration(), start),
                start,
            )
        })
    }

    fn known_duration(&self) -> KnownDuration {
        let route = &self.admitted.route.name;
        let times = &self.inner.answer_times;
        KnownDuration {
            time_left: self.time_left(),
            typical: times.typical(route),
            upper_bound: times.upper_bound(route),
            may_have_run: !self.holder.is_nobody(),
        }
    }
}
