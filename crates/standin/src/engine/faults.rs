//! Switches of the model engine.

use serde::{Deserialize, Serialize};

/// Switches of the model engine. "Once" means that the switch clears itself when it takes effect.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct EngineFaults {
    /// New runs are refused.
    pub leaving: bool,
    /// Age at which cache events become visible, in milliseconds.
    pub events_delay_ms: u64,
    /// This many of the next cache events are never shown.
    pub drop_events: u64,
    /// The next stream is cut after this many answer tokens, once.
    pub cut_after_tokens: Option<u64>,
    /// The next stream goes silent after this many answer tokens, once.
    pub silent_after_tokens: Option<u64>,
    /// The next stream sends the token after this many answer tokens twice, once.
    pub repeat_after_tokens: Option<u64>,
    /// Digest that the engine takes its weights for: in the load report, in the check of the
    /// expected version, in cache events and as part of cache keys. Answers still name the version
    /// that really ran.
    pub lie_version: Option<String>,
    /// All prefix memory is dropped, once.
    pub evict: bool,
    /// The next two streams are answered with each other's content, once.
    pub cross_answers: bool,
    /// The next export stops half-way through this block (the first is 1), once.
    pub export_cut_blocks: Option<u64>,
}
