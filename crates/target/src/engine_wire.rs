//! Request and response bodies of the engine protocol, as `docs/PROTOCOLS.md` specifies them.

use {
    crate::readable_entries::{ReadableEntries, deserialize_readable},
    catalog::{ClientAccountId, RequestId, VersionDigest},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Asks an engine to run a completion.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CompletionRequest {
    /// Model name that the caller sent.
    pub model: String,
    /// Complete prompt.
    pub prompt: String,
    /// Maximum number of answer tokens.
    pub max_tokens: u32,
    /// Whether the answer is streamed token by token.
    pub stream: bool,
    /// Id of the run at the engine.
    pub request_id: RequestId,
    /// Priority; higher values run first.
    pub priority: u8,
    /// Salt of the block keys, which separates the caches of client accounts.
    pub cache_salt: String,
    /// Block keys in hex of the prompt's complete pieces, in prompt order.
    pub block_keys: Vec<String>,
    /// Version that the block keys belong to; an engine that runs another one refuses the request.
    pub version: VersionDigest,
}

/// Token counts of a finished run.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Usage {
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Number of answer tokens.
    pub completion_tokens: u64,
    /// Breakdown of the prompt tokens.
    #[serde(default)]
    pub prompt_tokens_details: PromptDetails,
}

/// Breakdown of the prompt tokens.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PromptDetails {
    /// Number of prompt tokens read from the cache instead of computed.
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
    /// Digest of the version that currently serves.
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
    /// Runs in the queue.
    pub queued_count: u32,
    /// Prompt tokens in the queue, still to be computed.
    pub queued_tokens: u64,
    /// Prompt tokens computed per second.
    pub prefill_tokens_per_s: f64,
    /// Capacity of the prefix memory in tokens.
    #[serde(default)]
    pub memory_tokens: u64,
    /// Used part of the prefix memory in tokens.
    #[serde(default)]
    pub memory_used_tokens: u64,
    /// Whether the engine takes no new work.
    #[serde(default)]
    pub leaving: bool,
    /// Age of these values in milliseconds.
    #[serde(default)]
    pub age_ms: u64,
}

/// What happened to a block in engine memory.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEventKind {
    /// The block was added and can be used.
    Stored,
    /// The block was removed.
    Removed,
}

/// One cache event.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheEvent {
    /// Sequence number. A gap means that events were lost.
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
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(from = "RawCacheEvents")]
pub struct CacheEvents {
    /// Events in order.
    pub events: Vec<CacheEvent>,
    /// Number of further events that can't be read. Each may have removed a block.
    pub unreadable_count: usize,
    /// Sequence number of the oldest event that the engine still keeps.
    pub oldest_seq: u64,
    /// Sequence number of the newest event that the engine has published.
    pub last_seq: u64,
}

#[derive(Debug, Deserialize)]
struct RawCacheEvents {
    events: ReadableEntries<CacheEvent>,
    oldest_seq: u64,
    last_seq: u64,
}

impl From<RawCacheEvents> for CacheEvents {
    fn from(raw: RawCacheEvents) -> Self {
        Self {
            events: raw.events.entries,
            unreadable_count: raw.events.unreadable_count,
            oldest_seq: raw.oldest_seq,
            last_seq: raw.last_seq,
        }
    }
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

/// All blocks in engine memory.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheBlocks {
    /// Sequence number of the last event that `blocks` includes.
    pub last_seq: u64,
    /// Blocks in engine memory, without those that can't be read.
    #[serde(deserialize_with = "deserialize_readable")]
    pub blocks: Vec<CacheBlock>,
}

/// One block of an export or import.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct BlockRef {
    /// Block key in hex.
    pub key: String,
    /// Generation of the block at the store.
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
    /// Blocks to write.
    pub blocks: Vec<BlockRef>,
}

/// A block that was not exported or imported.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FailedBlock {
    /// Block key in hex.
    pub key: String,
    /// Reason of the failure.
    pub error: String,
}

/// Result of an export.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ExportReply {
    /// Blocks that the store has committed.
    pub exported: Vec<BlockRef>,
    /// Blocks that it has not committed.
    #[serde(default)]
    pub failed: Vec<FailedBlock>,
    /// Bytes transferred over the link.
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
    /// Blocks to read, in prompt order.
    pub blocks: Vec<BlockRef>,
}

/// Result of an import.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ImportReply {
    /// Keys in hex of the blocks that are now in engine memory.
    pub imported: Vec<String>,
    /// Blocks that could not be read.
    #[serde(default)]
    pub failed: Vec<FailedBlock>,
    /// Bytes transferred over the link.
    #[serde(default)]
    pub link_bytes: u64,
}

/// Body of an order.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct OrderRequest<'a, Order> {
    pub(crate) fencing: u64,
    pub(crate) order: &'a Order,
}

/// Confirms that the engine accepted an order.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OrderReply {
    /// Fencing token that the engine now holds.
    pub fencing: u64,
}
