//! Which calls a stopping instance still takes, and how it ends those that are left.

use {
    crate::{
        CutCall, HeaderFormat, KnownDuration, Refusal,
        active_call::ActiveCall,
        boot_time,
        call_recorder::{CallRecorder, millis},
    },
    std::time::Duration,
};

/// Time reserved for switching to another target.
const FAILOVER_TIME: Duration = Duration::from_millis(200);

impl<Format> ActiveCall<Format>
where
    Format: HeaderFormat,
{
    /// Refusal for a call that the shutdown ended before it was answered.
    pub(crate) fn cut_refusal(&self) -> Refusal {
        let cut = CutCall {
            is_in_flight: self.in_flight.is_some(),
            may_have_run: self.may_have_run_count > 0,
            is_passed_on: self.is_passed_on,
        };
        cut.reason().into()
    }

    /// Refuses the call if the instance is shutting down and the call may outlast it.
    pub(crate) fn check_shutdown(&self, recorder: &mut CallRecorder) -> Result<(), Refusal> {
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
            may_have_run: self.may_have_run_count > 0,
        }
    }
}
