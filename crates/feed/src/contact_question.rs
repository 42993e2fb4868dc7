//! Asks another instance whether the key-value service was there.

use {
    crate::{FeedError, connection::Connection},
    std::{net::SocketAddr, time::Duration},
};

/// Timeout of an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);

/// Asks the instance whose feed is at `peer` for the longest time without word from the key-value
/// service that it had in the last `within`; all of `within` if it cannot tell.
///
/// # Errors
/// Returns [`FeedError`] if the instance does not answer, or is of a build that does not know the
/// question.
pub async fn ask_service_gap(peer: SocketAddr, within: Duration) -> Result<Duration, FeedError> {
    Connection::new(peer)
        .call(ANSWER_TIMEOUT, async |client, context| {
            client.service_gap(context, within).await
        })
        .await
}
