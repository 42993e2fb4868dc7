//! How a call deals with a target that sends nothing for a while: it may be gone, or go on.

use {
    crate::{
        HeaderFormat, InFlightGuard,
        active_call::{ActiveCall, MIN_TIME_LEFT},
        boot_time,
        call_attempts::MAX_TRIED_TARGETS_COUNT,
        retry_budgets::RetryNeed,
    },
    std::{
        sync::atomic::Ordering,
        time::{Duration, Instant},
    },
    target::{SendError, StartTimeout},
    tokio::sync::watch,
};

/// Fraction of the route's latency objective to wait for the first byte of a call that may run
/// again.
const ATTEMPT_TIMEOUT_FACTOR: f64 = 0.7;
/// Multiple of the latency objective to wait for the head, and then for the first event, of a
/// stream that may run again. It is larger because another target would have to process the prompt
/// from the start. Only a target that sends nothing for long is abandoned.
const STREAM_ATTEMPT_TIMEOUT_FACTOR: f64 = 2.5;
/// Minimum wait for a target before another one is preferred.
const MIN_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(20);
/// Time for which calls avoid a target that is silent before its answer.
const SILENCE_PAUSE: Duration = Duration::from_millis(200);

/// Tells when a call was sent to its present target.
pub(crate) type SentAt = watch::Receiver<Option<Instant>>;

/// An attempt at a silent target, set aside while another target is asked to take the call.
#[derive(Debug)]
pub(crate) struct SuspendedAttempt {
    in_flight: Option<InFlightGuard>,
    tried_targets_count: usize,
    break_off: Option<SendError>,
}

impl SuspendedAttempt {
    /// Counts the call no longer as in flight at the target.
    pub(crate) fn stop_counting(&mut self) {
        self.in_flight = None;
    }

    /// Records that the target's answer broke off with `error`.
    pub(crate) fn record_break(&mut self, error: SendError) {
        record_disconnect(self.in_flight.as_ref());
        self.break_off = Some(error);
    }

    /// How the target's answer broke off; `None` if it did not.
    pub(crate) fn break_off(&self) -> Option<&SendError> {
        self.break_off.as_ref()
    }
}

impl<Format> ActiveCall<Format>
where
    Format: HeaderFormat,
{
    /// Whether another target may take the call from one that is silent.
    pub(crate) fn can_move(&self) -> bool {
        self.can_run_again()
            && self.time_left() > MIN_TIME_LEFT
            && self.can_finish_elsewhere_after(Duration::ZERO)
            && self.tried_targets.len() < MAX_TRIED_TARGETS_COUNT
            && !self.may_have_crashed_target()
            && self.blocking_suspect().is_none()
            && self.can_choose_target()
    }

    /// Has calls avoid the present target for a while.
    pub(crate) fn pause_target(&self, pause: Duration) {
        if let Some(in_flight) = &self.in_flight {
            let until = self.inner.origin.elapsed() + pause;
            in_flight.call_stats().pause(until);
        }
    }

    /// Records that the present target broke off the connection.
    pub(crate) fn record_disconnect(&self) {
        record_disconnect(self.in_flight.as_ref());
    }

    /// When the call was sent to its present target; `None` before that, and once the target has
    /// refused it.
    pub(crate) fn sent_at(&self) -> SentAt {
        self.sent_at.subscribe()
    }

    /// Sets the present attempt aside, so that the call can be sent to another target meanwhile.
    pub(crate) fn suspend_attempt(&mut self) -> SuspendedAttempt {
        self.sent_at.send_replace(None);
        SuspendedAttempt {
            in_flight: self.in_flight.take(),
            tried_targets_count: self.tried_targets.len(),
            break_off: None,
        }
    }

    /// Goes on with an attempt that was set aside, after no other target took the call.
    pub(crate) fn restore_attempt(&mut self, attempt: SuspendedAttempt) {
        self.in_flight = attempt.in_flight;
        self.tried_targets.truncate(attempt.tried_targets_count);
    }

    /// Goes on with an attempt that was set aside, after an attempt at another target was dropped.
    pub(crate) fn cancel_attempt(&mut self, attempt: SuspendedAttempt) {
        if self.sent_at.borrow().is_some() {
            self.may_have_run_count += 1;
        }
        self.restore_attempt(attempt);
    }

    /// Time to wait for the head of the answer, and then again for the first event of a stream,
    /// before another target is preferred. All the time left if no other target may run the call or
    /// could finish it before a shutdown.
    fn attempt_timeout(&self) -> Duration {
        let is_last = self.may_have_run_count + 1 >= self.admitted.route.max_attempts;
        if is_last || !self.retry_policy().may_run_again() {
            return self.time_left();
        }
        let factor = if self.retry_policy().is_stream() {
            STREAM_ATTEMPT_TIMEOUT_FACTOR
        } else {
            ATTEMPT_TIMEOUT_FACTOR
        };
        let latency_objective = self.admitted.route.latency_objective;
        let attempt_timeout = latency_objective.mul_f64(factor).max(MIN_ATTEMPT_TIMEOUT);
        if self.can_finish_elsewhere_after(attempt_timeout) {
            attempt_timeout
        } else {
            self.time_left()
        }
    }

    /// Whether a silent target is given up for another one. If so, the retry is taken from the
    /// budget. A target may be silent for a moment and then answer, so it is awaited if no other one
    /// may take the call.
    fn gives_up_silent_target(&self) -> bool {
        let gives_up = self.can_move() && self.try_retry(RetryNeed::Needed);
        self.has_reserved_retry.store(gives_up, Ordering::Relaxed);
        if !gives_up {
            self.pause_target(SILENCE_PAUSE);
        }
        gives_up
    }
}

/// Timeout for the start of an answer to a call.
pub(crate) struct AttemptTimeout<'call, Format> {
    /// The call.
    pub(crate) call: &'call ActiveCall<Format>,
}

impl<Format> StartTimeout for AttemptTimeout<'_, Format>
where
    Format: HeaderFormat,
{
    fn start(&self) {
        self.call.sent_at.send_replace(Some(Instant::now()));
    }

    fn duration(&self) -> Duration {
        self.call.attempt_timeout().min(self.call.time_left())
    }

    fn gives_up(&self) -> bool {
        self.call.time_left().is_zero() || self.call.gives_up_silent_target()
    }
}

/// Records that the target which has a call broke off the connection.
fn record_disconnect(in_flight: Option<&InFlightGuard>) {
    if let Some(in_flight) = in_flight {
        in_flight.call_stats().record_disconnect(boot_time());
    }
}
