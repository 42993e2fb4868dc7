//! What is done between the choice of a connection and the request on it.

use std::time::Instant;

/// Prepares a request once its connection is open.
pub trait RequestPreparation {
    /// Is called before the request is sent on a connection that was opened at `opened_at`. A request that goes over
    /// to another connection is prepared again.
    fn prepare(&self, opened_at: Instant) -> impl Future<Output = ()> + Send;
}

/// No preparation.
impl RequestPreparation for () {
    async fn prepare(&self, _opened_at: Instant) {}
}
