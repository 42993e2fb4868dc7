//! Fault switches of the store instance.

use serde::{Deserialize, Serialize};

/// Fault switches of the store instance. "Once" means that the switch is cleared when it takes
/// effect.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct StoreFaults {
    /// Refuses all writes with `507`.
    pub full: bool,
    /// The next write stops halfway and all content is lost, as if the process crashed and was
    /// restarted, once.
    pub die_mid_write: bool,
    /// New rate of the link in bytes per second; 0 means no limit.
    pub link_bytes_per_s: Option<u64>,
    /// The next read returns content with one altered byte, once.
    pub corrupt: bool,
}
