//! A stream on its way to the caller.

use {
    crate::{
        HeaderFormat, active_call::ActiveCall, attempt::Content, call_recorder::CallRecorder,
        event_stream::EventStream,
    },
    bytes::Bytes,
    routes::RetryPolicy,
    std::time::Duration,
};

/// Pauses of the longest length that is on time after which a stream is continued elsewhere.
const MAX_SILENT_GAPS_COUNT: u32 = 4;
/// Least silence after which a stream is continued elsewhere.
const MIN_SILENCE: Duration = Duration::from_secs(1);

/// Time that is left between the end of a silence and the last moment to continue elsewhere.
const FAILOVER_MARGIN: Duration = Duration::from_millis(300);

/// The call can't go on; its recorder says why.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Aborted;

/// A stream that is being passed on.
pub(crate) struct StreamForwarder<Format> {
    call: ActiveCall<Format>,
    events: EventStream,
    recorder: CallRecorder,
}

impl<Format> StreamForwarder<Format>
where
    Format: HeaderFormat,
{
    /// Passes `events` on from now on.
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

    /// The next event; none at the end of the stream. A stream that breaks off is continued by
    /// another target after the last event that was passed on, if its route allows that.
    pub(crate) async fn next(&mut self) -> Result<Option<Bytes>, Aborted> {
        loop {
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
            self.resume().await?;
        }
    }

    async fn resume(&mut self) -> Result<(), Aborted> {
        let last_event_id = self.events.last_event_id();
        let can_resume =
            self.call.repeat() == RetryPolicy::ResumableStream && last_event_id.is_some();
        let has_time = self.call.could_begin_after(Duration::ZERO);
        if !can_resume || !has_time || !self.call.can_run_again() || !self.call.try_retry() {
            return Err(self.torn("the target broke off"));
        }
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

    fn torn(&mut self, reason: &str) -> Aborted {
        let status = self.recorder.line.status;
        self.recorder.end("torn", status, reason);
        Aborted
    }

    fn cut(&mut self) -> Aborted {
        self.recorder.cut();
        Aborted
    }

    /// Longest pause before the next event that is waited for.
    fn silence_timeout(&self) -> Duration {
        let time_left = self.call.time_left();
        let gap = self.call.max_event_gap();
        match gap {
            Some(gap) if self.call.can_run_again() => {
                let silence_timeout = time_left.min((gap * MAX_SILENT_GAPS_COUNT).max(MIN_SILENCE));
                // What can't be continued elsewhere any more is better waited for.
                if self
                    .call
                    .could_begin_after(silence_timeout + FAILOVER_MARGIN)
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
