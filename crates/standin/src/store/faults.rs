//! Switches of the store instance.

use serde::{Deserialize, Serialize};

/// Switches of the store instance. "Once" means that the switch clears itself when it takes effect.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct StoreFaults {
    /// Writes are answered with `507`.
    pub full: bool,
    /// The next write stops half-way and all content is lost, as when the process dies and is
    /// started again, once.
    pub die_mid_write: bool,
    /// Rate of the link in bytes a second from now on; 0 means no limit.
    pub link_bytes_per_s: Option<u64>,
    /// The next read has a flipped byte, once.
    pub corrupt: bool,
}
