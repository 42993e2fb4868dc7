//! The chunk that ends a streamed answer.

use {crate::CompletionEvent, bytes::Bytes};

/// Last chunk of a whole streamed answer. Without one, a streamed response does not end regularly
/// ([`StreamSender::finish`](crate::StreamSender::finish)), so it is only made from the event that
/// shows that the answer is whole.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LastChunk(Bytes);

impl LastChunk {
    /// The chunk with these bytes, if `event` shows that the answer is whole: [`CompletionEvent::End`].
    #[must_use]
    pub fn new(event: &CompletionEvent, bytes: Bytes) -> Option<Self> {
        matches!(event, CompletionEvent::End { .. }).then_some(Self(bytes))
    }

    pub(crate) fn into_bytes(self) -> Bytes {
        self.0
    }
}
