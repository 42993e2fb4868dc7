//! Fault switches of the model engine.

use serde::{Deserialize, Serialize};

/// Fault switches of the model engine. "Once" means that the switch is cleared when it takes
/// effect.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct EngineFaults {
    /// New runs are refused.
    pub leaving: bool,
    /// Age at which cache events become visible, in milliseconds.
    pub events_delay_ms: u64,
    /// Number of upcoming cache events that are dropped and never become visible.
    pub drop_events: u64,
    /// The connection of the next answer breaks after this many answer tokens, once.
    pub cut_after_tokens: Option<u64>,
    /// The next answer stalls after this many answer tokens, once; the connection stays open.
    pub silent_after_tokens: Option<u64>,
    /// The next stream sends one token twice, the one after this many answer tokens, once.
    pub repeat_after_tokens: Option<u64>,
    /// Digest that the engine reports in place of its loaded version: in the load report, the check
    /// of the expected version, cache events and cache keys. Answers still name the version that
    /// computed them.
    pub lie_version: Option<String>,
    /// Empties the prefix cache, once.
    pub evict: bool,
    /// The next two answers are sent to each other's callers, once.
    pub cross_answers: bool,
    /// The next export stops halfway through this block (counted from 1), once.
    pub export_cut_blocks: Option<u64>,
}
