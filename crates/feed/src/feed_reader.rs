//! The client that reads the feed of another instance.

use {
    crate::{Batch, FeedError, connection::Connection},
    parts::Position,
    std::{net::SocketAddr, time::Duration},
};

/// Timeout of an answer, in addition to the time for which the call lets the instance wait.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(800);

/// Reads the feed of one instance over one connection, which is replaced when it fails.
#[derive(Debug)]
pub struct FeedReader {
    connection: Connection,
}

impl FeedReader {
    /// Creates a reader of the instance at `peer`. It connects with the first call.
    #[must_use]
    pub fn new(peer: SocketAddr) -> Self {
        Self {
            connection: Connection::new(peer),
        }
    }

    /// Returns what the instance has learned since `since`, or its whole state. If there are no
    /// changes, the instance waits up to `wait` for one before it answers.
    ///
    /// # Errors
    /// Returns [`FeedError`] if the feed cannot be read now; the call may be repeated.
    pub async fn read(
        &mut self,
        since: Option<Position>,
        wait: Duration,
    ) -> Result<Batch, FeedError> {
        let read = self
            .connection
            .call(wait + ANSWER_TIMEOUT, async |client, context| {
                client.read(context, since, wait).await
            });
        read.await.map(Batch::from)
    }
}
