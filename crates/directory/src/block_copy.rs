//! Copies of blocks, as the directory shows them to its callers.

use {
    catalog::{ClientAccountId, TargetId},
    prefix::BlockKey,
};

/// Distinguishes one write of a block from every other write of the same key.
pub type Generation = u64;

/// Kind of place in which a copy is kept.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Place {
    /// In a store; an engine reads it by importing it, and must present its generation.
    Store,
    /// In the memory of an engine; only this engine can use it.
    Memory,
}

/// A readable copy of a block.
#[derive(Clone, Debug, PartialEq)]
pub struct BlockCopy {
    /// Target that holds the copy.
    pub target: TargetId,
    /// Generation a reader must present; 0 for copies in engine memory.
    pub generation: Generation,
    /// Size in bytes; 0 if not known, which happens only for copies in engine memory.
    pub size_bytes: u64,
    /// Where the copy is kept.
    pub place: Place,
    /// Probability from 0 to 1 that the copy still exists; 1 for committed copies in stores.
    pub confidence: f64,
}

/// Identifies a copy in a store, with all that is needed to delete it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoreCopy {
    /// Key of the block.
    pub key: BlockKey,
    /// Store that holds the copy.
    pub target: TargetId,
    /// Generation of the copy.
    pub generation: Generation,
    /// Size in bytes.
    pub size_bytes: u64,
}

/// One write of a block to a store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoreWrite {
    /// Key of the block.
    pub key: BlockKey,
    /// Store that receives the block.
    pub target: TargetId,
    /// Generation, unique among all writes of `key`.
    pub generation: Generation,
    /// Size in bytes.
    pub size_bytes: u64,
    /// Client account that the bytes count for.
    pub client_account: ClientAccountId,
}
