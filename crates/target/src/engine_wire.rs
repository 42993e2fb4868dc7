//! Bodies of the engine protocol, as `docs/PROTOCOLS.md` lists them.

use {
    catalog::{ClientAccountId, RequestId, VersionDigest},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// A completion to run.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CompletionRequest {
    /// Model name as the caller gave it.
    pub model: String,
    /// Whole prompt.
    pub prompt: String,
    /// Answer tokens at most.
    pub max_tokens: u32,
    /// Whether the answer is sent token by token.
    pub stream: bool,
    /// Id of the run at the engine.
    pub request_id: RequestId,
    /// Higher runs sooner.
    pub priority: u8,
    /// Separates the caches of client accounts.
    pub cache_salt: String,
    /// Keys of the prompt's whole pieces in hex, first piece first.
    pub block_keys: Vec<String>,
    /// Version that the block keys are for; the engine refuses if it runs another.
    pub version: VersionDigest,
}

/// Token counts of a finished run.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Usage {
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Answer tokens.
    pub completion_tokens: u64,
    /// Details about the prompt.
    #[serde(default)]
    pub prompt_tokens_details: PromptDetails,
}

/// Details about the prompt's tokens.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PromptDetails {
    /// Prompt tokens that came from cache.
    #[serde(default)]
    pub cached_tokens: u64,
}

/// One event of an answer stream.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct ChunkWire {
    pub(crate) id: RequestId,
    #[serde(default)]
    pub(crate) system_fingerprint: VersionDigest,
    #[serde(default)]
    pub(crate) choices: Vec<ChoiceWire>,
    pub(crate) usage: Option<Usage>,
}

/// One choice of an answer event.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct ChoiceWire {
    #[serde(default)]
    pub(crate) text: String,
    pub(crate) finish_reason: Option<String>,
}

/// An engine's load report.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct LoadReport {
    /// Digest of the version that serves now.
    pub version: VersionDigest,
    /// Digests of all loaded versions.
    #[serde(default)]
    pub versions: Vec<VersionDigest>,
    /// Names of loaded adapters.
    #[serde(default)]
    pub adapters: Vec<String>,
    /// Role of the engine.
    #[serde(default)]
    pub role: String,
    /// Runs in progress.
    pub running_count: u32,
    /// Runs waiting.
    pub queued_count: u32,
    /// Prompt tokens waiting to be computed.
    pub queued_tokens: u64,
    /// Prompt tokens computed a second.
    pub prefill_tokens_per_s: f64,
    /// Prefix memory in tokens.
    #[serde(default)]
    pub memory_tokens: u64,
    /// Prefix memory in use, in tokens.
    #[serde(default)]
    pub memory_used_tokens: u64,
    /// Whether the engine takes no new work.
    #[serde(default)]
    pub leaving: bool,
    /// Age of the figures in milliseconds.
    #[serde(default)]
    pub age_ms: u64,
}

/// What happened to a block in engine memory.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEventKind {
    /// The block can be used.
    Stored,
    /// The block is gone.
    Removed,
}

/// One cache event.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheEvent {
    /// Sequence number; consecutive unless events were lost.
    pub seq: u64,
    /// What happened.
    pub kind: CacheEventKind,
    /// Block key in hex.
    pub key: String,
    /// Version the block belongs to.
    #[serde(default)]
    pub version: VersionDigest,
}

/// Cache events after a sequence number.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheEvents {
    /// Events in order.
    pub events: Vec<CacheEvent>,
    /// Oldest event the engine still keeps.
    pub oldest_seq: u64,
    /// Newest event the engine has published.
    pub last_seq: u64,
}

/// One block in engine memory.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheBlock {
    /// Block key in hex.
    pub key: String,
    /// Version the block belongs to.
    #[serde(default)]
    pub version: VersionDigest,
}

/// Everything in engine memory.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheBlocks {
    /// Event up to which `blocks` is current.
    pub last_seq: u64,
    /// Blocks.
    pub blocks: Vec<CacheBlock>,
}

/// One block of an export or import.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct BlockRef {
    /// Block key in hex.
    pub key: String,
    /// Generation at the store.
    pub generation: u64,
    /// Size in bytes; 0 in imports.
    #[serde(default)]
    pub size_bytes: u64,
    /// Client account the block belongs to; empty in imports.
    #[serde(default)]
    pub client_account: ClientAccountId,
}

/// Asks an engine to write blocks to a store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ExportRequest {
    /// Store that receives the blocks.
    pub store: SocketAddr,
    /// Version the blocks belong to.
    pub version: VersionDigest,
    /// Blocks.
    pub blocks: Vec<BlockRef>,
}

/// A block that was not moved.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FailedBlock {
    /// Block key in hex.
    pub key: String,
    /// Why.
    pub error: String,
}

/// What an export did.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ExportReply {
    /// Blocks that the store has committed.
    pub exported: Vec<BlockRef>,
    /// Blocks it has not.
    #[serde(default)]
    pub failed: Vec<FailedBlock>,
    /// Bytes over the link.
    #[serde(default)]
    pub link_bytes: u64,
}

/// Asks an engine to read blocks from a store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ImportRequest {
    /// Store that has the blocks.
    pub store: SocketAddr,
    /// Version the blocks belong to.
    pub version: VersionDigest,
    /// Blocks, first piece first.
    pub blocks: Vec<BlockRef>,
}

/// What an import did.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ImportReply {
    /// Keys in hex of the blocks now in engine memory.
    pub imported: Vec<String>,
    /// Blocks that are not.
    #[serde(default)]
    pub failed: Vec<FailedBlock>,
    /// Bytes over the link.
    #[serde(default)]
    pub link_bytes: u64,
}

/// Body of an order as it is sent.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct OrderRequest<'a, Order> {
    pub(crate) fencing: u64,
    pub(crate) order: &'a Order,
}

/// The engine accepted an order.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OrderReply {
    /// Fencing number that the engine now holds.
    pub fencing: u64,
}
