//! The client that has another instance keep, and tell, the origins of streams.

use {
    crate::{FeedError, connection::Connection},
    origins::{OriginKnowledge, OriginRecord, StreamKey},
    std::{net::SocketAddr, time::Duration},
};

/// Timeout of an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);

/// Exchanges the origins of streams with one instance over one connection, which is replaced when
/// it fails.
#[derive(Debug)]
pub struct OriginClient {
    connection: Connection,
}

impl OriginClient {
    /// Creates a client of the instance at `peer`. It connects with the first call.
    #[must_use]
    pub fn new(peer: SocketAddr) -> Self {
        Self {
            connection: Connection::new(peer),
        }
    }

    /// Has the instance keep `records`, and returns what it knows of the streams in `asked`, in
    /// their order. A connection that fails after it had been idle is replaced once.
    ///
    /// # Errors
    /// Returns [`FeedError`] if the instance does not answer; it may have kept the records.
    pub async fn exchange(
        &mut self,
        records: &[OriginRecord],
        asked: &[StreamKey],
    ) -> Result<Vec<OriginKnowledge>, FeedError> {
        let was_open = self.connection.is_open();
        match self.exchange_once(records, asked).await {
            Err(FeedError::Call { .. }) if was_open => self.exchange_once(records, asked).await,
            answer => answer,
        }
    }

    async fn exchange_once(
        &mut self,
        records: &[OriginRecord],
        asked: &[StreamKey],
    ) -> Result<Vec<OriginKnowledge>, FeedError> {
        self.connection
            .call(ANSWER_TIMEOUT, async |client, context| {
                let (records, asked) = (records.to_vec(), asked.to_vec());
                client.exchange_origins(context, records, asked).await
            })
            .await
    }
}
