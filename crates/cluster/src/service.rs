//! RPC interface between entry instances.

// `tarpc::service` generates request and response types without doc comments.
#![allow(missing_docs)]

use {
    crate::{DirectoryAnswer, DirectoryUpdate, Heartbeat, HeartbeatAck},
    catalog::{ClientAccountId, RequestId, Revision},
    decision::{Record, RecordPart},
    prefix::BlockKey,
    serde::{Deserialize, Serialize},
};

/// The complete configuration that is in force at one instance.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CatalogCopy {
    /// Revision of the configuration.
    pub revision: Revision,
    /// The encoded configuration; the daemon chooses the encoding.
    pub body: Vec<u8>,
}

/// The calls that peers make. All are idempotent.
#[tarpc::service]
pub(crate) trait PeerService {
    async fn heartbeat(heartbeat: Heartbeat) -> HeartbeatAck;
    async fn lookup(client_account: ClientAccountId, keys: Vec<BlockKey>) -> DirectoryAnswer;
    async fn record(updates: Vec<DirectoryUpdate>);
    async fn replicate(parts: Vec<RecordPart>);
    async fn decision(request: RequestId) -> Option<Record>;
    async fn catalog(after: Revision) -> Option<CatalogCopy>;
}
