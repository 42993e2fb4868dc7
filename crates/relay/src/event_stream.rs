//! Streams of events, passed on event by event.

use {
    bytes::Bytes,
    std::time::Duration,
    target::{Reply, SendError, SseParser, event_id},
};

/// A stream of one target, cut into whole events. What follows the last whole event of a stream
/// that breaks off is never passed on.
pub(crate) struct EventStream {
    reply: Reply,
    parser: SseParser,
    first_event: Option<Bytes>,
    last_event_id: Option<u64>,
    /// Whether a continued stream began with an event that was passed on before.
    is_restarted: bool,
}

impl std::fmt::Debug for EventStream {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("EventStream")
            .field("target", &self.reply.address())
            .field("last_id", &self.last_event_id)
            .finish_non_exhaustive()
    }
}

impl EventStream {
    /// Waits for the first event, so that a target that fails before it can be replaced unseen.
    pub(crate) async fn open(
        reply: Reply,
        first_event_timeout: Duration,
    ) -> Result<Self, SendError> {
        let mut events = Self {
            reply,
            parser: SseParser::default(),
            first_event: None,
            last_event_id: None,
            is_restarted: false,
        };
        events.first_event = events.read_event(first_event_timeout).await?;
        Ok(events)
    }

    /// Continues a stream whose last event was `last_event_id`; events up to it must not come again.
    pub(crate) fn resume_after(mut self: Box<Self>, last_event_id: Option<u64>) -> Self {
        if self
            .first_event_id()
            .is_some_and(|first| Some(first) <= last_event_id)
        {
            self.first_event = None;
            self.parser = SseParser::default();
            self.is_restarted = true;
        }
        *self
    }

    fn first_event_id(&self) -> Option<u64> {
        event_id(self.first_event.as_deref()?)
    }

    /// The next whole event; none after a stream that has ended as it should.
    pub(crate) async fn next(
        &mut self,
        silence_timeout: Duration,
    ) -> Result<Option<Bytes>, SendError> {
        match self.first_event.take() {
            Some(first) => Ok(Some(first)),
            None => self.read_event(silence_timeout).await,
        }
    }

    /// Id of the last event that was read.
    pub(crate) fn last_event_id(&self) -> Option<u64> {
        self.last_event_id
    }

    async fn read_event(&mut self, silence_timeout: Duration) -> Result<Option<Bytes>, SendError> {
        if self.is_restarted {
            return Err(self.torn_error("a continued stream began again"));
        }
        loop {
            if let Some(event) = self.parser.next_event() {
                return self.check_order(event).map(Some);
            }
            if self.parser.overflowed() {
                return Err(self.torn_error("an event exceeds its bound"));
            }
            match self.reply.chunk(silence_timeout).await? {
                Some(chunk) => self.parser.push(&chunk),
                None if self.parser.has_part() => {
                    return Err(self.torn_error("it ends within an event"));
                }
                None => return Ok(None),
            }
        }
    }

    /// Ids only rise within a stream.
    fn check_order(&mut self, event: Bytes) -> Result<Bytes, SendError> {
        let id = event_id(&event);
        if id.is_some() && id <= self.last_event_id {
            return Err(self.torn_error("an event came out of order"));
        }
        self.last_event_id = id.or(self.last_event_id);
        Ok(event)
    }

    fn torn_error(&self, reason: &str) -> SendError {
        SendError::Unknown {
            address: self.reply.address(),
            reason: reason.to_owned(),
        }
    }
}
