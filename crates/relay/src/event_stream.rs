//! Event stream of a target, split into complete events.

use {
    bytes::Bytes,
    std::time::{Duration, Instant},
    target::{Reply, SendError, SseParser, StartTimeout, event_id},
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
    last_event_id: Option<u64>,
}

impl std::fmt::Debug for EventStream {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("EventStream")
            .field("target", &self.reply.address())
            .field("last_event_id", &self.last_event_id)
            .finish_non_exhaustive()
    }
}

impl EventStream {
    /// Waits for the first event until `timeout` gives up. Until then, the caller has received
    /// nothing, so another target can still be tried without the caller noticing.
    ///
    /// Fails if the connection ends before an event, since nothing else marks the end of a stream
    /// that has neither a length nor chunks. A resumed stream may have no events left, but only a
    /// length or chunks tell that from a target that was ended before its first event.
    pub(crate) async fn open<Timeout>(reply: Reply, timeout: &Timeout) -> Result<Self, SendError>
    where
        Timeout: StartTimeout,
    {
        let started = Instant::now();
        let mut events = Self {
            reply,
            parser: SseParser::default(),
            first_event: None,
            last_event_id: None,
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
        if events.first_event.is_none() && events.reply.ends_with_connection() {
            return Err(events.torn("it ends before its first event"));
        }
        Ok(events)
    }

    /// Takes the stream as the continuation of one whose last event was `last_event_id`; `None` if
    /// it repeats events up to that one.
    pub(crate) fn resume_after(
        mut self: Box<Self>,
        last_event_id: Option<u64>,
    ) -> Option<Box<Self>> {
        let first_event_id = self.first_event_id();
        if first_event_id.is_some_and(|first| Some(first) <= last_event_id) {
            return None;
        }
        self.last_event_id = self.last_event_id.max(last_event_id);
        Some(self)
    }

    /// Whether the first event has arrived and was not returned yet.
    pub(crate) fn has_first_event(&self) -> bool {
        self.first_event.is_some()
    }

    fn first_event_id(&self) -> Option<u64> {
        event_id(self.first_event.as_deref()?)
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

    /// Id of the last event that was read.
    pub(crate) fn last_event_id(&self) -> Option<u64> {
        self.last_event_id
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
                return self.check_order(event).map(Some);
            }
            if self.parser.overflowed() {
                return Err(self.invalid("an event exceeds its bound"));
            }
            match self.reply.next_chunk().await? {
                Some(chunk) => self.parser.push(&chunk),
                None if self.parser.has_part() => {
                    return Err(self.torn("it ends within an event"));
                }
                None => return Ok(None),
            }
        }
    }

    /// Checks that event ids strictly increase within the stream. Events without an id may occur
    /// anywhere.
    fn check_order(&mut self, event: Bytes) -> Result<Bytes, SendError> {
        let id = event_id(&event);
        if id.is_some() && id <= self.last_event_id {
            return Err(self.invalid("an event came out of order"));
        }
        self.last_event_id = id.or(self.last_event_id);
        Ok(event)
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
