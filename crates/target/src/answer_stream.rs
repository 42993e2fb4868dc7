//! The answer to a completion request, read as it arrives.

use {
    crate::{BodyPart, Reply, SendError, SseParser, Usage, engine_wire::ChunkWire},
    catalog::{RequestId, VersionDigest},
    std::time::Duration,
    tokio::time::timeout,
};

/// Data of the event that ends a complete answer.
const END_MARKER: &[u8] = b"[DONE]";

/// One event of an answer stream.
#[derive(Clone, Debug, PartialEq)]
pub enum AnswerEvent {
    /// Text of one token.
    Text(String),
    /// The answer is complete.
    End {
        /// Why generation stopped, `length` or `stop`.
        finish_reason: String,
        /// Token counts.
        usage: Usage,
    },
}

/// The answer to a completion request, read as it arrives. Each event is checked to belong to the
/// request and the requested version.
pub struct AnswerStream {
    reply: Reply,
    parser: SseParser,
    request_id: RequestId,
    version: VersionDigest,
    finish: Option<(String, Usage)>,
    received_count: u64,
}

impl AnswerStream {
    /// Reads `reply` as the answer to the request `request_id` by `version`. `received_count` is
    /// the number of tokens that already arrived over earlier connections.
    #[must_use]
    pub fn new(
        reply: Reply,
        request_id: RequestId,
        version: VersionDigest,
        received_count: u64,
    ) -> Self {
        Self {
            reply,
            parser: SseParser::default(),
            request_id,
            version,
            finish: None,
            received_count,
        }
    }

    /// Number of tokens received so far, over all connections.
    #[must_use]
    pub fn received_count(&self) -> u64 {
        self.received_count
    }

    /// Waits for the next event, at most `event_timeout`, whatever else arrives meanwhile.
    ///
    /// # Errors
    /// [`SendError::Unknown`] if the stream is truncated or times out before its end marker;
    /// [`SendError::OtherVersion`] if it comes from another version; [`SendError::Failed`] if it
    /// belongs to another request, is invalid, or reports a wrong token count.
    pub async fn next(&mut self, event_timeout: Duration) -> Result<AnswerEvent, SendError> {
        let address = self.reply.address();
        let read = timeout(event_timeout, self.read_next()).await;
        read.unwrap_or_else(|_| {
            Err(SendError::Unknown {
                address,
                reason: format!("no event in {} ms", event_timeout.as_millis()),
                disconnected: false,
            })
        })
    }

    async fn read_next(&mut self) -> Result<AnswerEvent, SendError> {
        loop {
            while let Some(data) = self.parser.next_data() {
                if let Some(event) = self.read_event(&data)? {
                    return Ok(event);
                }
            }
            if self.parser.overflowed() {
                return Err(self.failed("event too large"));
            }
            match self.reply.next_part().await? {
                BodyPart::Data(data) => self.parser.push(&data),
                BodyPart::End(_) => return Err(self.truncated()),
            }
        }
    }

    fn read_event(&mut self, data: &[u8]) -> Result<Option<AnswerEvent>, SendError> {
        if data == END_MARKER {
            let Some((finish_reason, usage)) = self.finish.take() else {
                return Err(self.truncated());
            };
            if usage.completion_tokens != self.received_count {
                return Err(self.failed("token count differs from the tokens received"));
            }
            return Ok(Some(AnswerEvent::End {
                finish_reason,
                usage,
            }));
        }
        let chunk: ChunkWire =
            serde_json::from_slice(data).map_err(|error| self.failed(&error.to_string()))?;
        if chunk.id != self.request_id {
            return Err(self.failed("answer belongs to another request"));
        }
        if chunk.system_fingerprint != self.version {
            return Err(SendError::OtherVersion {
                address: self.reply.address(),
                version: chunk.system_fingerprint,
            });
        }
        Ok(self.read_chunk(chunk))
    }

    fn read_chunk(&mut self, chunk: ChunkWire) -> Option<AnswerEvent> {
        let usage = chunk.usage;
        let choice = chunk.choices.into_iter().next()?;
        if let (Some(reason), Some(usage)) = (choice.finish_reason, usage) {
            self.finish = Some((reason, usage));
        }
        if choice.text.is_empty() {
            return None;
        }
        self.received_count += 1;
        Some(AnswerEvent::Text(choice.text))
    }

    fn truncated(&self) -> SendError {
        SendError::Unknown {
            address: self.reply.address(),
            reason: "answer ended before its end marker".to_owned(),
            disconnected: false,
        }
    }

    fn failed(&self, reason: &str) -> SendError {
        SendError::Failed {
            address: self.reply.address(),
            status: self.reply.status().as_u16(),
            reason: reason.to_owned(),
        }
    }
}
