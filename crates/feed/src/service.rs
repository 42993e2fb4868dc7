//! The call between instances, as it travels.

// The attribute below generates a request and a response type without comments.
#![allow(missing_docs)]

use {crate::Batch, parts::Position, std::time::Duration};

#[tarpc::service]
pub(crate) trait FeedService {
    /// What was learned since `since`, or the whole state; waits up to `wait` for something.
    async fn read(since: Option<Position>, wait: Duration) -> Batch;
}
