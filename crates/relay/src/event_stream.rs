//! Event stream of a target, split into complete events.

use {
    bytes::Bytes,
    std::time::{Duration, Instant},
    target::{BodyEnd, Misplaced, Reply, SendError, SseParser, StartTimeout, StreamPosition},
    tokio::time::timeout,
};

/// What the next read of an event stream gives.
#[derive(Clone, Debug)]
pub(crate) enum StreamStep {
    /// A complete event.
    Event(Bytes),
    /// The regular end of the stream.
    End,
    /// No event was complete in time. The stream can be read on.
    Silent,
}

/// Event stream of one target, read as complete events. If the stream breaks off within an event,
/// that partial event is never returned.
pub(crate) struct EventStream {
    reply: Reply,
    parser: SseParser,
    /// First event, until [`EventStream::next`] returns it; `None` also for a stream without
    /// events.
    first_event: Option<Bytes>,
    position: StreamPosition,
}

impl std::fmt::Debug for EventStream {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("EventStream")
            .field("target", &self.reply.address())
            .field("position", &self.position)
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
            reply,
            parser: SseParser::default(),
            first_event: None,
            position,
        };
        events.first_event = loop {
            match events.read_event(timeout.duration()).await? {
                StreamStep::Event(event) => break Some(event),
                StreamStep::End => break None,
                StreamStep::Silent if timeout.gives_up() => {
                    return Err(events.silent(started.elapsed()));
                }
                StreamStep::Silent => {}
            }
        };
        Ok(events)
    }

    /// Whether the first event has arrived and was not returned yet.
    pub(crate) fn has_first_event(&self) -> bool {
        self.first_event.is_some()
    }

    /// Waits for the next complete event or the regular end of the stream, for up to
    /// `event_timeout`.
    pub(crate) async fn next(&mut self, event_timeout: Duration) -> Result<StreamStep, SendError> {
        match self.first_event.take() {
            Some(first) => Ok(StreamStep::Event(first)),
            None => self.read_event(event_timeout).await,
        }
    }

    /// Closes the connection to the target; reading fails from now on.
    pub(crate) fn close(&mut self) {
        self.reply.close();
    }

    /// Whether [`EventStream::close`] was called.
    pub(crate) fn is_closed(&self) -> bool {
        self.reply.is_closed()
    }

    /// Id of the event after which another target may resume the stream, if it can be resumed.
    pub(crate) fn resume_point(&self) -> Option<u64> {
        self.position.resume_point()
    }

    /// Reads the next complete event, within `event_timeout`.
    async fn read_event(&mut self, event_timeout: Duration) -> Result<StreamStep, SendError> {
        match timeout(event_timeout, self.read_chunks()).await {
            Ok(read) => Ok(read?.map_or(StreamStep::End, StreamStep::Event)),
            Err(_) => Ok(StreamStep::Silent),
        }
    }

    async fn read_chunks(&mut self) -> Result<Option<Bytes>, SendError> {
        loop {
            if let Some(event) = self.parser.next_event() {
                let advanced = self.position.advance(&event);
                advanced.map_err(|misplaced| self.misplaced(misplaced))?;
                return Ok(Some(event));
            }
            if self.parser.overflowed() {
                return Err(self.invalid("an event exceeds its bound"));
            }
            match self.reply.next_chunk().await? {
                Some(chunk) => self.parser.push_chunk(chunk),
                None if self.parser.has_part() => {
                    return Err(self.torn("it ends within an event"));
                }
                None => return self.end(),
            }
        }
    }

    /// Checks that the stream may be complete at the end of its body.
    fn end(&self) -> Result<Option<Bytes>, SendError> {
        let end = if self.reply.ends_with_connection() {
            BodyEnd::Connection
        } else {
            BodyEnd::Framing
        };
        let ended = self.position.end(end);
        ended.map_err(|misplaced| self.misplaced(misplaced))?;
        Ok(None)
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
