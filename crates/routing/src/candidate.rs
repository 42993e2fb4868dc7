//! What routing knows of one engine.

use {catalog::Target, std::time::Duration};

/// Load of an engine, corrected by this instance's own requests in flight.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineLoad {
    /// Requests running.
    pub running_count: u32,
    /// Requests waiting.
    pub queued_count: u32,
    /// Prompt tokens waiting to be computed.
    pub queued_tokens: u64,
    /// Age of the report.
    pub age: Duration,
}

/// One engine that might run the request.
#[derive(Clone, Debug)]
pub struct Candidate<'a> {
    /// The target as configured.
    pub target: &'a Target,
    /// Whether the instance list, the catalog or the target itself says that it leaves.
    pub leaving: bool,
    /// Whether connections to the target work.
    pub reachable: bool,
    /// Whether the engine runs the wanted version now.
    pub has_version: bool,
    /// Time to load the wanted weights, if they are not there.
    pub weights_load: Duration,
    /// Last known load.
    pub load: EngineLoad,
    /// Leading blocks of the prompt believed to be in engine memory.
    pub memory_blocks: usize,
    /// Probability from 0 to 1 that those blocks are still there.
    pub memory_confidence: f64,
    /// Leading blocks that could be had from engine memory and stores together.
    pub import_blocks: usize,
    /// Rate of the link between the best store and the engine in bytes a second.
    pub link_bytes_per_s: f64,
    /// Bytes already queued on that link.
    pub link_queued_bytes: u64,
    /// Prompt tokens computed a second.
    pub prefill_tokens_per_s: f64,
}
