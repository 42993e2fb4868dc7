//! Forwarding of an event stream to the caller, with failover to another target.

use {
    crate::{
        HeaderFormat, active_call::ActiveCall, attempt::Content, call_recorder::CallRecorder,
        event_stream::EventStream,
    },
    bytes::Bytes,
    routes::RetryPolicy,
    std::time::Duration,
};

/// Multiple of the route's `max_event_gap` after which a silent stream is resumed at another
/// target.
const SILENCE_GAP_FACTOR: u32 = 4;
/// Minimum silence after which a stream is resumed at another target.
const MIN_SILENCE: Duration = Duration::from_secs(1);

/// Time reserved between the silence timeout and the last moment at which another target could
/// still finish the stream before a shutdown.
const FAILOVER_MARGIN: Duration = Duration::from_millis(300);

/// The stream ended early; the call's recorder holds the reason.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Aborted;

/// Forwards the event stream of a call to the caller.
pub(crate) struct StreamForwarder<Format> {
    call: ActiveCall<Format>,
    events: EventStream,
    recorder: CallRecorder,
}

impl<Format> StreamForwarder<Format>
where
    Format: HeaderFormat,
{
    /// Forwards `events` as the answer to `call`.
    pub(crate) fn new(
        call: ActiveCall<Format>,
        events: EventStream,
        recorder: CallRecorder,
    ) -> Self {
        Self {
            call,
            events,
            recorder,
        }
    }

    /// Returns the next event, or `None` at the end of the stream. If the stream breaks off,
    /// another target resumes it after the last forwarded event, provided that the route, the
    /// remaining time and the retry budget allow it.
    pub(crate) async fn next(&mut self) -> Result<Option<Bytes>, Aborted> {
        loop {
            if self.call.time_left().is_zero() {
                return Err(self.torn("the time limit of the call passed"));
            }
            let silence_timeout = self.silence_timeout();
            let answer_cutoff = self.call.inner.state.answer_cutoff.clone();
            let next = tokio::select! {
                biased;
                next = self.events.next(silence_timeout) => next,
                () = answer_cutoff.triggered() => return Err(self.cut()),
            };
            let error = match next {
                Ok(Some(event)) => {
                    self.recorder.record_event();
                    return Ok(Some(event));
                }
                Ok(None) => {
                    let status = self.recorder.line.status;
                    self.recorder.end("answered", status, "");
                    return Ok(None);
                }
                Err(error) => error,
            };
            self.recorder.end_attempt(format!("torn: {error}"));
            self.recorder.record_prompt_parts(&self.call.admitted.call);
            self.resume().await?;
        }
    }

    /// Lets another target resume the stream after it broke off.
    async fn resume(&mut self) -> Result<(), Aborted> {
        if let Err(reason) = self.check_resumable() {
            return Err(self.torn(reason));
        }
        let last_event_id = self.events.last_event_id();
        let answer_cutoff = self.call.inner.state.answer_cutoff.clone();
        let answer = tokio::select! {
            biased;
            answer = self.call.run(&mut self.recorder, last_event_id) => answer,
            () = answer_cutoff.triggered() => return Err(self.cut()),
        };
        let Ok(answer) = answer else {
            return Err(self.torn("no other target continued the stream"));
        };
        match answer.content {
            Content::Events(events) if answer.status.is_success() => {
                self.events = events.resume_after(last_event_id);
                Ok(())
            }
            _ => Err(self.torn("another target refused to continue the stream")),
        }
    }

    /// Checks that another target may resume the stream, and takes a retry from the budget. Fails
    /// with the reason for the log.
    fn check_resumable(&self) -> Result<(), &'static str> {
        let call = &self.call;
        if call.retry_policy() != RetryPolicy::ResumableStream {
            return Err("the target broke off; the route does not allow resuming");
        }
        if self.events.last_event_id().is_none() {
            return Err("the target broke off before an event with an id");
        }
        if !call.can_finish_elsewhere_after(Duration::ZERO) {
            return Err("the target broke off; the shutdown leaves no time to resume");
        }
        if !call.can_run_again() {
            return Err("the target broke off; no further attempt is allowed");
        }
        if !call.try_retry() {
            return Err("the target broke off; the retry budget is used up");
        }
        Ok(())
    }

    /// Records that the stream broke off because of `reason` and was not resumed.
    fn torn(&mut self, reason: &str) -> Aborted {
        let status = self.recorder.line.status;
        self.recorder.end("torn", status, reason);
        Aborted
    }

    /// Records that the shutdown ended the stream early.
    fn cut(&mut self) -> Aborted {
        self.recorder.cut();
        Aborted
    }

    /// Maximum time for which the target may send nothing. All the time left if the route sets no
    /// `max_event_gap`, or if no other target may run the call or could finish it before a
    /// shutdown.
    fn silence_timeout(&self) -> Duration {
        let time_left = self.call.time_left();
        let gap = self.call.max_event_gap();
        match gap {
            Some(gap) if self.call.can_run_again() => {
                let silence_timeout = time_left.min((gap * SILENCE_GAP_FACTOR).max(MIN_SILENCE));
                // If no other target could finish the stream in time, keep waiting for this one.
                if self
                    .call
                    .can_finish_elsewhere_after(silence_timeout + FAILOVER_MARGIN)
                {
                    silence_timeout
                } else {
                    time_left
                }
            }
            _ => time_left,
        }
    }
}
