//! Incremental parser of server-sent events.

use {
    bytes::{Bytes, BytesMut},
    memchr::memchr_iter,
    std::mem,
};

/// Largest event that is accepted.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Splits a byte stream into server-sent events.
///
/// ```
/// use target::SseParser;
///
/// let mut parser = SseParser::default();
/// parser.push(b"data: one\n\nda");
/// assert_eq!(parser.next_data().as_deref(), Some(&b"one"[..]));
/// assert_eq!(parser.next_data(), None);
/// parser.push(b"ta: two\n\n");
/// assert_eq!(parser.next_data().as_deref(), Some(&b"two"[..]));
/// ```
#[derive(Debug, Default)]
pub struct SseParser {
    /// Bytes of an event that began in an earlier chunk, and what followed them.
    buffer: BytesMut,
    /// Bytes of the last chunk, which is not copied as long as its events are whole.
    chunk: Bytes,
}

/// Complete events that arrived together, with the blank lines that end them.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EventBatch {
    /// Their bytes, one event after the other.
    pub bytes: Bytes,
    /// Number of events.
    pub count: u64,
}

impl SseParser {
    /// Appends received bytes.
    pub fn push(&mut self, chunk: &[u8]) {
        self.buffer_chunk();
        self.buffer.extend_from_slice(chunk);
    }

    /// Appends received bytes, without copying those of whole events if they begin with an event.
    pub fn push_chunk(&mut self, chunk: Bytes) {
        self.buffer_chunk();
        if self.buffer.is_empty() {
            self.chunk = chunk;
        } else {
            self.buffer.extend_from_slice(&chunk);
        }
    }

    fn buffer_chunk(&mut self) {
        self.buffer.extend_from_slice(&mem::take(&mut self.chunk));
    }

    /// Returns the data of the next complete event, if one has arrived. Events without data are
    /// skipped.
    pub fn next_data(&mut self) -> Option<Bytes> {
        loop {
            let event = self.next_event()?;
            if let Some(data) = event_data(&event) {
                return Some(data);
            }
        }
    }

    /// Returns the bytes of the next complete event, with the blank line that ends it.
    pub fn next_event(&mut self) -> Option<Bytes> {
        let length = event_length(self.unread())?;
        Some(self.split_to(length))
    }

    /// Returns the complete events that have arrived, up to the first one that `check` rejects; `None` if
    /// no event is complete. A rejected event is kept, and checked again by the next call.
    ///
    /// ```
    /// use target::{Misplaced, SseParser, StreamPosition};
    ///
    /// let mut parser = SseParser::default();
    /// parser.push(b"id: 1\n\nid: 2\n\nid: 2\n\nid: 3");
    /// let mut position = StreamPosition::default();
    /// let mut next = || parser.next_events(|event| position.advance(event));
    /// let batch = next().unwrap().unwrap();
    /// assert_eq!((&batch.bytes[..], batch.count), (&b"id: 1\n\nid: 2\n\n"[..], 2));
    /// assert_eq!(next(), Err(Misplaced::Repeated));
    /// ```
    ///
    /// # Errors
    /// What `check` returns for the first event.
    pub fn next_events<Check, Rejection>(
        &mut self,
        mut check: Check,
    ) -> Result<Option<EventBatch>, Rejection>
    where
        Check: FnMut(&[u8]) -> Result<(), Rejection>,
    {
        let unread = self.unread();
        let (mut end, mut count) = (0, 0);
        while let Some(length) = event_length(&unread[end..]) {
            match check(&unread[end..end + length]) {
                Ok(()) => {}
                Err(rejection) if count == 0 => return Err(rejection),
                Err(_) => break,
            }
            end += length;
            count += 1;
        }
        if count == 0 {
            return Ok(None);
        }
        let bytes = self.split_to(end);
        Ok(Some(EventBatch { bytes, count }))
    }

    /// Bytes that were not returned yet.
    fn unread(&self) -> &[u8] {
        if self.buffer.is_empty() {
            &self.chunk
        } else {
            &self.buffer
        }
    }

    /// Takes the first `length` bytes of [`Self::unread`].
    fn split_to(&mut self, length: usize) -> Bytes {
        if self.buffer.is_empty() {
            self.chunk.split_to(length)
        } else {
            self.buffer.split_to(length).freeze()
        }
    }

    /// Whether bytes are buffered that no complete event was returned for, such as a partial event.
    #[must_use]
    pub fn has_part(&self) -> bool {
        !self.buffer.is_empty() || !self.chunk.is_empty()
    }

    /// Whether more than the largest accepted event is buffered.
    #[must_use]
    pub fn overflowed(&self) -> bool {
        self.buffer.len().max(self.chunk.len()) > MAX_EVENT_BYTES
    }
}

/// Length of the first complete event, with the blank line that ends it. Lines end with a line feed, or
/// with a carriage return and a line feed.
fn event_length(buffer: &[u8]) -> Option<usize> {
    memchr_iter(b'\n', buffer).find_map(|line_feed| match &buffer[line_feed + 1..] {
        [b'\n', ..] => Some(line_feed + 2),
        [b'\r', b'\n', ..] => Some(line_feed + 3),
        _ => None,
    })
}

/// The number in the `id` field of an event; `None` if the field is missing or not a number.
#[must_use]
pub fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}

/// Joins the `data` fields of an event with line feeds; `None` without data.
fn event_data(event: &[u8]) -> Option<Bytes> {
    let mut data = Vec::new();
    for line in event.split(|byte| *byte == b'\n') {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        let Some(value) = line.strip_prefix(b"data:") else {
            continue;
        };
        if !data.is_empty() {
            data.push(b'\n');
        }
        data.extend_from_slice(value.strip_prefix(b" ").unwrap_or(value));
    }
    (!data.is_empty()).then(|| data.into())
}
