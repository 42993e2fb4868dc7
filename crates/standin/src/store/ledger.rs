//! Counts of what a store instance did, for tests to check.

use serde::{Deserialize, Serialize};

/// Counts of reads and writes since the start.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoreLedger {
    /// Reads answered with a block.
    pub read_count: u64,
    /// Reads answered with bytes that were not the committed block of the wanted generation.
    pub unsafe_read_count: u64,
    /// Reads that were refused because the block was missing, freed, of another generation or still
    /// being written.
    pub refused_read_count: u64,
    /// Reads that were cut off because the block was freed or lost during the read.
    pub cut_read_count: u64,
    /// Writes that were committed.
    pub commit_count: u64,
    /// Writes that were cut off or refused at the commit.
    pub failed_write_count: u64,
    /// Blocks that were freed.
    pub free_count: u64,
}
