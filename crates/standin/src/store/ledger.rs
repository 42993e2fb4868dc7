//! What a store instance handed out.

use serde::{Deserialize, Serialize};

/// Reads and writes since the start.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoreLedger {
    /// Reads answered with a block.
    pub read_count: u64,
    /// Reads answered with bytes that were not the committed block of the wanted generation.
    pub unsafe_read_count: u64,
    /// Reads that were refused because the block is missing, freed, of another generation or still
    /// being written.
    pub refused_read_count: u64,
    /// Reads that were cut because the block was freed meanwhile.
    pub cut_read_count: u64,
    /// Blocks committed.
    pub commit_count: u64,
    /// Writes that left nothing behind.
    pub failed_write_count: u64,
    /// Blocks freed.
    pub free_count: u64,
}
