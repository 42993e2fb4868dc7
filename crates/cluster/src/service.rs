//! Calls between entry instances, as they travel.

// The attribute below generates a request and a response type without comments.
#![allow(missing_docs)]

use {
    crate::{DirectoryAnswer, DirectoryUpdate, Heartbeat, HeartbeatAck},
    catalog::{ClientAccountId, RequestId, Revision},
    decision::{Record, RecordPart},
    prefix::BlockKey,
    serde::{Deserialize, Serialize},
};

/// The whole configuration as one instance has it in force.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CatalogCopy {
    /// Revision it holds at.
    pub revision: Revision,
    /// Its encoding, chosen by the daemon.
    pub body: Vec<u8>,
}

/// The calls. Each may be repeated without further effect.
#[tarpc::service]
pub(crate) trait PeerService {
    async fn heartbeat(heartbeat: Heartbeat) -> HeartbeatAck;
    async fn lookup(client_account: ClientAccountId, keys: Vec<BlockKey>) -> DirectoryAnswer;
    async fn record(updates: Vec<DirectoryUpdate>);
    async fn replicate(parts: Vec<RecordPart>);
    async fn decision(request: RequestId) -> Option<Record>;
    async fn catalog(after: Revision) -> Option<CatalogCopy>;
}
