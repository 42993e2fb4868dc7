//! What an instance answers to its peers.

use {
    crate::{CatalogCopy, DirectoryAnswer, DirectoryUpdate, Heartbeat, HeartbeatAck},
    catalog::{ClientAccountId, RequestId, Revision},
    decision::{Record, RecordPart},
    prefix::BlockKey,
    std::future::Future,
};

/// Answers calls of authenticated peers. Implemented by the daemon and given to
/// [`serve`](crate::serve).
///
/// A call may arrive twice, because the caller repeats it on a fresh connection when the first one
/// went silent.
pub trait PeerHandler: Clone + Send + Sync + 'static {
    /// Takes in a heartbeat; see [`Cluster::handle_heartbeat`](crate::Cluster::handle_heartbeat).
    fn heartbeat(&self, heartbeat: Heartbeat) -> impl Future<Output = HeartbeatAck> + Send;

    /// What this instance knows of a prompt's blocks.
    fn lookup(
        &self,
        client_account: ClientAccountId,
        keys: Vec<BlockKey>,
    ) -> impl Future<Output = DirectoryAnswer> + Send;

    /// Takes in directory updates in their order.
    fn record(&self, updates: Vec<DirectoryUpdate>) -> impl Future<Output = ()> + Send;

    /// Keeps copies of another instance's decision records.
    fn replicate(&self, parts: Vec<RecordPart>) -> impl Future<Output = ()> + Send;

    /// The record of a request, if this instance has it. The caller checks who may see it.
    fn decision(&self, request: RequestId) -> impl Future<Output = Option<Record>> + Send;

    /// The configuration in force, if its revision is higher than `after`.
    fn catalog(&self, after: Revision) -> impl Future<Output = Option<CatalogCopy>> + Send;
}
