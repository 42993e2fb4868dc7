//! Forwarding of an event stream to the caller, with failover to another target.

use {
    crate::{
        HeaderFormat,
        active_call::ActiveCall,
        attempt::Content,
        call_recorder::CallRecorder,
        event_forwarding::{Aborted, EventForwarding, Forwarded},
        event_stream::{EventStream, StreamStep},
        retry_budgets::RetryNeed,
        shutdown::CutoffWatch,
        silent_target::{SentAt, SuspendedAttempt},
        unproven_body::PROOF_TIME,
    },
    routes::RetryPolicy,
    std::{future::pending, time::Duration},
    target::SendError,
    tokio::time::{sleep_until, timeout},
};

/// Multiple of the route's `max_event_gap` after which another target is asked to resume a silent
/// stream.
const SILENCE_GAP_FACTOR: u32 = 4;
/// Minimum silence after which another target is asked to resume a stream.
const MIN_SILENCE: Duration = Duration::from_secs(1);
/// Time for which a silent stream stays open after another target was sent the call. At most one of
/// the two may run the call for longer.
const HANDOVER_TIME: Duration = Duration::from_millis(300);
/// Time for which calls avoid a target whose stream has fallen silent.
const SILENCE_PAUSE: Duration = Duration::from_secs(1);
/// Time reserved between the silence timeout and the last moment at which another target could
/// still finish the stream before a shutdown.
const FAILOVER_MARGIN: Duration = Duration::from_millis(300);

/// What a read of the stream gave.
type Step = Result<StreamStep, SendError>;

/// Forwards the event stream of a call to the caller.
pub(crate) struct StreamForwarder<Format> {
    call: ActiveCall<Format>,
    events: EventStream,
    recorder: CallRecorder,
    cutoff: CutoffWatch,
    /// Index of the attempt that `events` belongs to.
    attempt_index: usize,
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
        let attempt_index = recorder.last_attempt_index();
        let cutoff = CutoffWatch::new(call.inner.state.answer_cutoff.clone());
        Self {
            call,
            events,
            recorder,
            cutoff,
            attempt_index,
        }
    }

    /// Reads the stream until something comes or the target has been silent for long.
    async fn read(&mut self) -> Result<Step, Aborted> {
        if self.call.time_left().is_zero() {
            return Err(self.torn("the time limit of the call passed"));
        }
        let silence_timeout = self.silence_timeout();
        let next = self.events.next(silence_timeout);
        match self.cutoff.unless_cut(next).await {
            Some(step) => Ok(step),
            None => Err(self.cut()),
        }
    }

    /// Lets another target resume the stream after it broke off.
    async fn resume(&mut self) -> Result<(), Aborted> {
        let last_event_id = self.events.resume_point();
        loop {
            if let Err(reason) = self.reserve_resumption() {
                return Err(self.torn(reason));
            }
            let resuming = resume_elsewhere(&mut self.call, &mut self.recorder, last_event_id);
            let Some(resumed) = self.cutoff.unless_cut(resuming).await else {
                return Err(self.cut());
            };
            match resumed {
                Ok(events) => {
                    self.go_on_with(events);
                    return Ok(());
                }
                Err(NotResumed::Unusable) => {}
                Err(NotResumed::NotTaken) => {
                    return Err(self.torn("no other target continued the stream"));
                }
                Err(NotResumed::OriginUnknown) => {
                    return Err(self.torn("nothing shows which process began the stream"));
                }
            }
        }
    }

    /// Lets another target go on with a stream whose end is not proven, in case it was cut off there. Returns
    /// whether one does; the answer may be over there too.
    async fn resume_ended(&mut self) -> bool {
        let last_event_id = self.events.resume_point();
        let is_possible = self.call.can_move() && self.check_resumption().is_ok();
        if !is_possible || !self.call.try_retry(RetryNeed::Surplus) {
            return false;
        }
        self.call.may_be_over = true;
        let resuming = resume_elsewhere(&mut self.call, &mut self.recorder, last_event_id);
        let resuming = timeout(PROOF_TIME, resuming);
        let resumed = self.cutoff.unless_cut(resuming).await;
        self.call.may_be_over = false;
        let Some(Ok(Ok(events))) = resumed else {
            return false;
        };
        self.end_attempt("ended; another target goes on, since nothing proves the end".to_owned());
        self.go_on_with(events);
        true
    }

    /// Lets another target resume a silent stream. Stays with the present one if that goes on first,
    /// and returns what it sent, or if no other target takes the stream. If the present one breaks off,
    /// the other one still has the call and is awaited.
    async fn move_silent(&mut self) -> Result<Option<StreamStep>, Aborted> {
        self.call.pause_target(SILENCE_PAUSE);
        if !self.call.can_move() || self.reserve_resumption().is_err() {
            return Ok(None);
        }
        let silence_ms = self.silence_timeout().as_millis();
        self.end_attempt(format!("silent for {silence_ms} ms"));
        let last_event_id = self.events.resume_point();
        let mut present = self.call.suspend_attempt();
        let sent_at = self.call.sent_at();
        let first = async {
            tokio::select! {
                biased;
                resumed = resume_elsewhere(&mut self.call, &mut self.recorder, last_event_id) => First::Other(resumed),
                step = read_until_taken(&mut self.events, &mut present, sent_at) => First::Present(step),
            }
        };
        let first = self.cutoff.unless_cut(first).await;
        if let Some(error) = present.break_off() {
            self.record_break(error);
        }
        let Some(first) = first else {
            return Err(self.cut());
        };
        match first {
            First::Other(Ok(events)) => self.go_on_with(events),
            First::Other(Err(_)) if self.events.is_closed() => self.resume().await?,
            First::Other(Err(_)) => self.call.restore_attempt(present),
            First::Present(step) => {
                self.recorder
                    .end_attempt("ended: the target before it went on".to_owned());
                self.call.cancel_attempt(present);
                return Ok(Some(step));
            }
        }
        Ok(None)
    }

    /// Goes on with the stream of another target.
    fn go_on_with(&mut self, events: Box<EventStream>) {
        self.call.record_identity(&mut self.recorder);
        self.events = *events;
        self.attempt_index = self.recorder.last_attempt_index();
    }

    /// Records that the stream broke off with `error`.
    fn record_break(&mut self, error: &SendError) {
        self.end_attempt(format!("torn: {error}"));
        self.call.record_identity(&mut self.recorder);
    }

    /// Records the outcome of the attempt that the stream belongs to.
    fn end_attempt(&mut self, outcome: String) {
        self.recorder.set_outcome(self.attempt_index, outcome);
    }

    /// Checks that another target may resume the stream, and takes a retry from the budget. Fails
    /// with the reason for the log.
    fn reserve_resumption(&self) -> Result<(), &'static str> {
        self.check_resumption()?;
        if !self.call.try_retry(RetryNeed::Needed) {
            return Err("the target broke off; the retry budget is used up");
        }
        Ok(())
    }

    /// Checks that another target may resume the stream. Fails with the reason for the log.
    fn check_resumption(&self) -> Result<(), &'static str> {
        let call = &self.call;
        if call.retry_policy() != RetryPolicy::ResumableStream {
            return Err("the target broke off; the route does not allow resuming");
        }
        if self.events.resume_point().is_none() {
            return Err("the target broke off before an event with an id");
        }
        if !call.can_finish_elsewhere_after(Duration::ZERO) {
            return Err("the target broke off; the shutdown leaves no time to resume");
        }
        if !call.can_run_again() {
            return Err("the target broke off; no further attempt is allowed");
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

impl<Format> EventForwarding for StreamForwarder<Format>
where
    Format: HeaderFormat,
{
    /// Returns the next events, or the end of the stream.
    ///
    /// If the stream breaks off, another target resumes it after the last forwarded event, provided
    /// that the route, the remaining time and the retry budget allow it. A silent stream is moved in
    /// the same way, and read on if no other target takes it.
    async fn next(&mut self) -> Result<Forwarded, Aborted> {
        let mut step = self.read().await?;
        loop {
            step = match step {
                Ok(StreamStep::Events(events)) => {
                    self.recorder.record_events(events.count);
                    return Ok(Forwarded::Events(events.bytes));
                }
                Ok(StreamStep::End(whole)) => {
                    if whole.evidence().is_proof() || !self.resume_ended().await {
                        return Ok(Forwarded::End(whole));
                    }
                    self.read().await?
                }
                Ok(StreamStep::Silent) if self.events.is_unconfirmed() => self.read().await?,
                Ok(StreamStep::Silent) => match self.move_silent().await? {
                    Some(step) => Ok(step),
                    None => self.read().await?,
                },
                Err(error) => {
                    // A target that sent something unusable would otherwise go on with the call.
                    self.events.close();
                    self.record_break(&error);
                    self.call.record_disconnect();
                    self.resume().await?;
                    self.read().await?
                }
            };
        }
    }

    fn recorder(&mut self) -> &mut CallRecorder {
        &mut self.recorder
    }
}

/// What came first after another target was asked to resume a silent stream.
enum First {
    /// The other target took the stream, or none does.
    Other(Result<Box<EventStream>, NotResumed>),
    /// The present target went on.
    Present(StreamStep),
}

/// Why another target did not resume a stream.
#[derive(Clone, Copy, Debug)]
enum NotResumed {
    /// No target took the call.
    NotTaken,
    /// A target answered the call, but not with a stream.
    Unusable,
    /// Nothing shows that the registered process of its target began the stream.
    OriginUnknown,
}

/// Lets another target resume a stream after `last_event_id`.
async fn resume_elsewhere<Format>(
    call: &mut ActiveCall<Format>,
    recorder: &mut CallRecorder,
    last_event_id: Option<u64>,
) -> Result<Box<EventStream>, NotResumed>
where
    Format: HeaderFormat,
{
    if !call.is_origin_confirmed().await {
        return Err(NotResumed::OriginUnknown);
    }
    let Ok(answer) = call.run(recorder, last_event_id).await else {
        return Err(NotResumed::NotTaken);
    };
    match answer.content {
        Content::Events(events) if answer.status.is_success() => Ok(events),
        _ => Err(NotResumed::Unusable),
    }
}

/// Reads a silent stream while another target is asked to resume it, until the stream breaks off or that
/// target has had the call for [`HANDOVER_TIME`]. Then closes the stream and never completes.
async fn read_until_taken(
    events: &mut EventStream,
    attempt: &mut SuspendedAttempt,
    sent_at: SentAt,
) -> StreamStep {
    tokio::select! {
        biased;
        step = events.next(Duration::MAX) => match step {
            Ok(step) => return step,
            Err(error) => attempt.record_break(error),
        },
        () = has_run_for(HANDOVER_TIME, sent_at) => {}
    }
    events.close();
    attempt.stop_counting();
    pending().await
}

/// Waits until a call has been at one target for `duration`.
async fn has_run_for(duration: Duration, mut sent_at: SentAt) {
    loop {
        let sent = *sent_at.borrow_and_update();
        let over = async {
            match sent {
                Some(sent) => sleep_until((sent + duration).into()).await,
                None => pending().await,
            }
        };
        tokio::select! {
            () = over => return,
            changed = sent_at.changed() => if changed.is_err() {
                return pending().await;
            },
        }
    }
}
