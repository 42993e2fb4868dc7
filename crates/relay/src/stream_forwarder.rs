//! Forwarding of an event stream to the caller, with failover to another target.

use {
    crate::{
        HeaderFormat,
        active_call::ActiveCall,
        attempt::Content,
        call_recorder::CallRecorder,
        event_stream::{EventStream, StreamStep},
    },
    bytes::Bytes,
    routes::RetryPolicy,
    std::{convert::Infallible, future::pending, time::Duration},
    tokio::time::sleep,
};

/// Multiple of the route's `max_event_gap` after which another target is asked to resume a silent
/// stream.
const SILENCE_GAP_FACTOR: u32 = 4;
/// Minimum silence after which another target is asked to resume a stream.
const MIN_SILENCE: Duration = Duration::from_secs(1);
/// Time for which a silent stream stays open while another target is asked to resume it. At most one
/// of the two may run the call for longer.
const HANDOVER_TIME: Duration = Duration::from_millis(300);
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

    /// Returns the next event, or `None` at the end of the stream.
    ///
    /// If the stream breaks off, another target resumes it after the last forwarded event, provided
    /// that the route, the remaining time and the retry budget allow it. A silent stream is moved in
    /// the same way, and read on if no other target takes it.
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
            match next {
                Ok(StreamStep::Event(event)) => {
                    self.recorder.record_event();
                    return Ok(Some(event));
                }
                Ok(StreamStep::End) => {
                    let status = self.recorder.line.status;
                    self.recorder.end("answered", status, "");
                    return Ok(None);
                }
                Ok(StreamStep::Silent) => {
                    self.recorder
                        .end_attempt(format!("silent for {} ms", silence_timeout.as_millis()));
                    self.move_silent().await?;
                }
                Err(error) => {
                    self.recorder.end_attempt(format!("torn: {error}"));
                    self.recorder.record_prompt_parts(&self.call.admitted.call);
                    self.resume().await?;
                }
            }
        }
    }

    /// Lets another target resume the stream after it broke off.
    async fn resume(&mut self) -> Result<(), Aborted> {
        if let Err(reason) = self.check_resumable() {
            return Err(self.torn(reason));
        }
        let last_event_id = self.events.last_event_id();
        let answer_cutoff = self.call.inner.state.answer_cutoff.clone();
        let resumed = tokio::select! {
            biased;
            resumed = resume_elsewhere(&mut self.call, &mut self.recorder, last_event_id) => resumed,
            () = answer_cutoff.triggered() => return Err(self.cut()),
        };
        self.events = resumed.map_err(|reason| self.torn(reason))?;
        Ok(())
    }

    /// Lets another target resume a silent stream. If none takes it, goes on with the present one,
    /// unless its connection was closed by then.
    async fn move_silent(&mut self) -> Result<(), Aborted> {
        if !self.call.has_other_target() || self.check_resumable().is_err() {
            return Ok(());
        }
        let last_event_id = self.events.last_event_id();
        let in_flight = self.call.take_in_flight();
        let answer_cutoff = self.call.inner.state.answer_cutoff.clone();
        let resumed = tokio::select! {
            biased;
            resumed = resume_elsewhere(&mut self.call, &mut self.recorder, last_event_id) => resumed,
            () = answer_cutoff.triggered() => return Err(self.cut()),
            never = close_after(HANDOVER_TIME, &mut self.events) => match never {},
        };
        match resumed {
            Ok(events) => {
                self.recorder.record_prompt_parts(&self.call.admitted.call);
                self.events = events;
            }
            Err(reason) if self.events.is_closed() => return Err(self.torn(reason)),
            Err(_) => self.call.restore_in_flight(in_flight),
        }
        Ok(())
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

    /// Time for which the target may send nothing before another one is asked to resume the stream.
    /// All the time left if the route sets no `max_event_gap`, or if no other target may run the call
    /// or could finish it before a shutdown.
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

/// Lets another target resume a stream after `last_event_id`. Fails with the reason for the log.
async fn resume_elsewhere<Format>(
    call: &mut ActiveCall<Format>,
    recorder: &mut CallRecorder,
    last_event_id: Option<u64>,
) -> Result<EventStream, &'static str>
where
    Format: HeaderFormat,
{
    let Ok(answer) = call.run(recorder, last_event_id).await else {
        return Err("no other target continued the stream");
    };
    match answer.content {
        Content::Events(events) if answer.status.is_success() => {
            Ok(events.resume_after(last_event_id))
        }
        _ => Err("another target refused to continue the stream"),
    }
}

/// Closes a stream after `delay`; never completes.
async fn close_after(delay: Duration, events: &mut EventStream) -> Infallible {
    sleep(delay).await;
    events.close();
    pending().await
}
