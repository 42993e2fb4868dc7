//! The client that follows the key-value service through another instance.

use {
    crate::{FeedError, FollowAnswer, connection::Connection, error::TimedOutSnafu},
    catalog::Revision,
    std::{net::SocketAddr, time::Duration},
    tokio::time::timeout,
};

/// Follows the key-value service through one instance over one connection, which is replaced when it
/// fails.
#[derive(Debug)]
pub struct FollowClient {
    peer: SocketAddr,
    connection: Connection,
}

impl FollowClient {
    /// Creates a client of the instance whose feed is at `peer`. It connects with the first call.
    #[must_use]
    pub fn new(peer: SocketAddr) -> Self {
        Self {
            peer,
            connection: Connection::new(peer),
        }
    }

    /// Requests the changes after revision `since` of an incarnation of the service. If there are
    /// none, the instance waits up to `wait` for one. `limit` bounds the whole request, connecting
    /// included.
    ///
    /// # Errors
    /// Returns [`FeedError`] if the instance does not answer in time, or is of a build that does not
    /// know the request.
    pub async fn follow(
        &mut self,
        incarnation: u64,
        since: Revision,
        wait: Duration,
        limit: Duration,
    ) -> Result<FollowAnswer, FeedError> {
        let request = self.connection.call(limit, async |client, context| {
            client.follow(context, incarnation, since, wait).await
        });
        match timeout(limit, request).await {
            Ok(answer) => answer,
            Err(_) => TimedOutSnafu { peer: self.peer }.fail(),
        }
    }
}
