//! Event stream of a target, split into complete events.

use {
    crate::wait_timer::WaitTimer,
    std::time::{Duration, Instant},
    target::{
        BodyPart, EventBatch, Misplaced, Reply, SendError, SseParser, StartTimeout, StreamPosition,
        WholeBody,
    },
};

/// What the next read of an event stream gives.
#[derive(Clone, Debug)]
pub(crate) enum StreamStep {
    /// Complete events that arrived together.
    Events(EventBatch),
    /// The regular end of the stream, and what shows that it is complete.
    End(WholeBody),
    /// No event was complete in time. The stream can be read on.
    Silent,
}

/// Event stream of one target, read as complete events. If the stream breaks off within an event,
/// that partial event is never returned.
pub(crate) struct EventStream {
    reader: EventReader,
    /// First events, or the end of a stream without events, until [`EventStream::next`] returns it.
    first_step: Option<StreamStep>,
    timer: WaitTimer,
}

/// Reads the events of an answer and checks their position.
struct EventReader {
    reply: Reply,
    parser: SseParser,
    position: StreamPosition,
}

impl std::fmt::Debug for EventStream {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("EventStream")
            .field("target", &self.reader.reply.address())
            .field("position", &self.reader.position)
            .finish_non_exhaustive()
    }
}

impl EventStream {
    /// Waits for the first event until `timeout` gives up. Until then, the caller has received
    /// nothing, so another target can still be tried without the caller noticing.
    ///
    /// Fails if the first event does not continue the stream at `position`, or if the connection
    /// ends before it and nothing shows that no event is left.
    pub(crate) async fn open<Timeout>(
        reply: Reply,
        timeout: &Timeout,
        position: StreamPosition,
    ) -> Result<Self, SendError>
    where
        Timeout: StartTimeout,
    {
        let started = Instant::now();
        let mut events = Self {
            reader: EventReader {
                reply,
                parser: SseParser::default(),
                position,
            },
            first_step: None,
            timer: WaitTimer::default(),
        };
        loop {
            match events.read(timeout.duration()).await? {
                StreamStep::Silent if timeout.gives_up() => {
                    return Err(events.reader.silent(started.elapsed()));
                }
                StreamStep::Silent => {}
                step => {
                    events.first_step = Some(step);
                    return Ok(events);
                }
            }
        }
    }

    /// Whether the first event has arrived and was not returned yet.
    pub(crate) fn has_first_event(&self) -> bool {
        matches!(self.first_step, Some(StreamStep::Events(_)))
    }

    /// Waits for the next complete events or the regular end of the stream, for up to
    /// `event_timeout`. Returns as soon as one event is complete, with all that arrived together with it.
    pub(crate) async fn next(&mut self, event_timeout: Duration) -> Result<StreamStep, SendError> {
        match self.first_step.take() {
            Some(first) => Ok(first),
            None => self.read(event_timeout).await,
        }
    }

    /// Whether all of it has been read, and its target has not yet shown that it is complete.
    pub(crate) fn is_unconfirmed(&self) -> bool {
        self.reader.reply.is_unconfirmed()
    }

    /// Closes the connection to the target; reading fails from now on.
    pub(crate) fn close(&mut self) {
        self.reader.reply.close();
    }

    /// Whether [`EventStream::close`] was called.
    pub(crate) fn is_closed(&self) -> bool {
        self.reader.reply.is_closed()
    }

    /// Id of the event after which another target may resume the stream, if it can be resumed.
    pub(crate) fn resume_point(&self) -> Option<u64> {
        self.reader.position.resume_point()
    }

    async fn read(&mut self, event_timeout: Duration) -> Result<StreamStep, SendError> {
        let read = self.timer.limit(event_timeout, self.reader.read()).await;
        read.unwrap_or(Ok(StreamStep::Silent))
    }
}

impl EventReader {
    /// Waits for the next complete events, or the regular end. Dropping the future loses nothing.
    async fn read(&mut self) -> Result<StreamStep, SendError> {
        loop {
            let position = &mut self.position;
            let arrived = self.parser.next_events(|event| position.advance(event));
            if let Some(events) = arrived.map_err(|misplaced| self.misplaced(misplaced))? {
                return Ok(StreamStep::Events(events));
            }
            if self.parser.overflowed() {
                return Err(self.invalid("an event exceeds its bound"));
            }
            match self.reply.next_part().await? {
                BodyPart::Data(data) => self.parser.push_chunk(data),
                BodyPart::End(_) if self.parser.has_part() => {
                    return Err(self.torn("it ends within an event"));
                }
                BodyPart::End(whole) => return self.end(whole),
            }
        }
    }

    /// Checks that the stream may be complete at the end of its body.
    fn end(&self, whole: WholeBody) -> Result<StreamStep, SendError> {
        let ended = self.position.end(whole.end());
        ended.map_err(|misplaced| self.misplaced(misplaced))?;
        Ok(StreamStep::End(whole))
    }

    /// Error for a stream that does not go on as its position demands.
    fn misplaced(&self, misplaced: Misplaced) -> SendError {
        let reason = misplaced.to_string();
        match misplaced {
            Misplaced::NoEvent => self.torn(&reason),
            Misplaced::Repeated | Misplaced::Unplaced => self.invalid(&reason),
        }
    }

    /// Error for a stream that was silent for too long.
    fn silent(&self, event_timeout: Duration) -> SendError {
        self.invalid(&format!(
            "no whole event in {} ms",
            event_timeout.as_millis()
        ))
    }

    /// Error for a stream that broke off at its end.
    fn torn(&self, reason: &str) -> SendError {
        self.failed(reason, self.reply.ends_with_connection())
    }

    /// Error for a stream that is invalid.
    fn invalid(&self, reason: &str) -> SendError {
        self.failed(reason, false)
    }

    fn failed(&self, reason: &str, disconnected: bool) -> SendError {
        SendError::Unknown {
            address: self.reply.address(),
            reason: reason.to_owned(),
            disconnected,
        }
    }
}
