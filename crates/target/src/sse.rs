//! Incremental reading of server-sent events.

use bytes::{Buf, Bytes, BytesMut};

/// Largest event accepted.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Cuts a byte stream into the `data` of server-sent events.
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
    buffer: BytesMut,
}

impl SseParser {
    /// Adds bytes as they arrived.
    pub fn push(&mut self, chunk: &[u8]) {
        self.buffer.extend_from_slice(chunk);
    }

    /// The data of the next whole event, if one has arrived. Events without data are skipped.
    pub fn next_data(&mut self) -> Option<Bytes> {
        loop {
            let end = find(&self.buffer, b"\n\n")?;
            let event = self.buffer.split_to(end);
            self.buffer.advance(2);
            if let Some(data) = data_of(&event) {
                return Some(data);
            }
        }
    }

    /// Whether more is buffered than an event may hold.
    #[must_use]
    pub fn overflowed(&self) -> bool {
        self.buffer.len() > MAX_EVENT_BYTES
    }
}

fn find(haystack: &[u8], needle: &[u8]) -> Option<usize> {
    haystack
        .windows(needle.len())
        .position(|window| window == needle)
}

fn data_of(event: &[u8]) -> Option<Bytes> {
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
