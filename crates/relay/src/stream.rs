//! Streams of events, passed on event by event.

use {
    bytes::Bytes,
    std::time::Duration,
    target::{Reply, SendError, SseParser, event_id},
};

/// A stream of one target, cut into whole events. What follows the last whole event of a stream
/// that breaks off is never passed on.
pub(crate) struct Events {
    reply: Reply,
    parser: SseParser,
    first: Option<Bytes>,
    last_id: Option<u64>,
    /// Whether a continued stream began with an event that was passed on before.
    repeats: bool,
}

impl std::fmt::Debug for Events {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("Events")
            .field("target", &self.reply.address())
            .field("last_id", &self.last_id)
            .finish_non_exhaustive()
    }
}

impl Events {
    /// Waits for the first event, so that a target that fails before it can be replaced unseen.
    pub(crate) async fn begin(reply: Reply, first_event: Duration) -> Result<Self, SendError> {
        let mut events = Self {
            reply,
            parser: SseParser::default(),
            first: None,
            last_id: None,
            repeats: false,
        };
        events.first = events.read(first_event).await?;
        Ok(events)
    }

    /// Continues a stream whose last event was `last_id`; events up to it must not come again.
    pub(crate) fn after(mut self: Box<Self>, last_id: Option<u64>) -> Self {
        if self.first_id().is_some_and(|first| Some(first) <= last_id) {
            self.first = None;
            self.parser = SseParser::default();
            self.repeats = true;
        }
        *self
    }

    fn first_id(&self) -> Option<u64> {
        event_id(self.first.as_deref()?)
    }

    /// The next whole event; none after a stream that has ended as it should.
    pub(crate) async fn next(&mut self, silence: Duration) -> Result<Option<Bytes>, SendError> {
        match self.first.take() {
            Some(first) => Ok(Some(first)),
            None => self.read(silence).await,
        }
    }

    /// Id of the last event that was read.
    pub(crate) fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    async fn read(&mut self, silence: Duration) -> Result<Option<Bytes>, SendError> {
        if self.repeats {
            return Err(self.torn("a continued stream began again"));
        }
        loop {
            if let Some(event) = self.parser.next_event() {
                return self.checked(event).map(Some);
            }
            if self.parser.overflowed() {
                return Err(self.torn("an event exceeds its bound"));
            }
            match self.reply.chunk(silence).await? {
                Some(chunk) => self.parser.push(&chunk),
                None if self.parser.has_part() => return Err(self.torn("it ends within an event")),
                None => return Ok(None),
            }
        }
    }

    /// Ids only rise within a stream.
    fn checked(&mut self, event: Bytes) -> Result<Bytes, SendError> {
        let id = event_id(&event);
        if id.is_some() && id <= self.last_id {
            return Err(self.torn("an event came out of order"));
        }
        self.last_id = id.or(self.last_id);
        Ok(event)
    }

    fn torn(&self, reason: &str) -> SendError {
        SendError::Unknown {
            address: self.reply.address(),
            reason: reason.to_owned(),
        }
    }
}
