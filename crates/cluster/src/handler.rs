//! Handles the calls of peers.

use {
    crate::{CatalogCopy, DirectoryAnswer, DirectoryUpdate, Heartbeat, HeartbeatAck},
    catalog::{ClientAccountId, RequestId, Revision},
    decision::{Record, RecordPart},
    prefix::BlockKey,
    std::future::Future,
};

/// Handles calls of authenticated peers. The daemon implements it and passes it to
/// [`serve`](crate::serve).
///
/// A call may arrive twice, because the caller retries it on a new connection if the first one
/// stops responding.
pub trait PeerHandler: Clone + Send + Sync + 'static {
    /// Handles a heartbeat; see [`Cluster::handle_heartbeat`](crate::Cluster::handle_heartbeat).
    fn heartbeat(&self, heartbeat: Heartbeat) -> impl Future<Output = HeartbeatAck> + Send;

    /// Looks up a prompt's blocks in this instance's directory.
    fn lookup(
        &self,
        client_account: ClientAccountId,
        keys: Vec<BlockKey>,
    ) -> impl Future<Output = DirectoryAnswer> + Send;

    /// Applies directory updates in order.
    fn record(&self, updates: Vec<DirectoryUpdate>) -> impl Future<Output = ()> + Send;

    /// Stores copies of another instance's decision records.
    fn replicate(&self, parts: Vec<RecordPart>) -> impl Future<Output = ()> + Send;

    /// Returns the decision record of a request, if this instance has it. The caller checks who may
    /// see it.
    fn decision(&self, request: RequestId) -> impl Future<Output = Option<Record>> + Send;

    /// Returns the configuration in force, if its revision is higher than `after`.
    fn catalog(&self, after: Revision) -> impl Future<Output = Option<CatalogCopy>> + Send;
}
