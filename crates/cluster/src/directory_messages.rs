//! Messages between instances about blocks.

use {
    catalog::{ClientAccountId, TargetId},
    directory::{BlockCopy, Generation, Place, PrefixMatch, StoreWrite},
    prefix::BlockKey,
    serde::{Deserialize, Serialize},
};

/// The copy of one block that a holder has.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct HeldBlock {
    /// Generation that a reader must present; 0 for copies in engine memory.
    pub generation: Generation,
    /// Size in bytes; 0 if not known.
    pub size_bytes: u64,
    /// Probability from 0 to 1 that the copy still exists.
    pub confidence: f64,
}

/// The contiguous leading blocks of a prompt that one target has.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Holder {
    /// The target.
    pub target: TargetId,
    /// Whether the copies are in a store; otherwise they are in the target's engine memory.
    pub is_store: bool,
    /// Copies of the leading blocks, in prompt order.
    pub blocks: Vec<HeldBlock>,
}

impl From<&PrefixMatch> for Holder {
    fn from(prefix_match: &PrefixMatch) -> Self {
        let blocks = prefix_match.copies.iter().map(|copy| HeldBlock {
            generation: copy.generation,
            size_bytes: copy.size_bytes,
            confidence: copy.confidence,
        });
        Self {
            target: prefix_match.target.clone(),
            is_store: prefix_match.place == Place::Store,
            blocks: blocks.collect(),
        }
    }
}

impl From<&Holder> for PrefixMatch {
    fn from(holder: &Holder) -> Self {
        let place = if holder.is_store {
            Place::Store
        } else {
            Place::Memory
        };
        let copies = holder.blocks.iter().map(|block| BlockCopy {
            target: holder.target.clone(),
            generation: block.generation,
            size_bytes: block.size_bytes,
            place,
            confidence: block.confidence,
        });
        let confidences = holder.blocks.iter().map(|block| block.confidence);
        Self {
            target: holder.target.clone(),
            place,
            copies: copies.collect(),
            confidence: confidences.fold(1.0, f64::min),
        }
    }
}

/// Answer of an owner to a lookup of a prompt's blocks.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct DirectoryAnswer {
    /// Targets that have leading blocks of the prompt.
    pub holders: Vec<Holder>,
    /// Number of leading blocks that any engine has computed before.
    pub seen_blocks_count: usize,
    /// Whether the owner has all directory entries of its keys; false for a while after it becomes
    /// owner.
    pub is_complete: bool,
}

/// One write of a block to a store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BlockWrite {
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

impl From<&StoreWrite> for BlockWrite {
    fn from(write: &StoreWrite) -> Self {
        Self {
            key: write.key,
            target: write.target.clone(),
            generation: write.generation,
            size_bytes: write.size_bytes,
            client_account: write.client_account.clone(),
        }
    }
}

impl From<BlockWrite> for StoreWrite {
    fn from(write: BlockWrite) -> Self {
        Self {
            key: write.key,
            target: write.target,
            generation: write.generation,
            size_bytes: write.size_bytes,
            client_account: write.client_account,
        }
    }
}

/// A change that is sent to the owners of a prompt's first block. Applying it is idempotent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum DirectoryUpdate {
    /// Blocks were computed or used.
    Used {
        /// Client account that sent the prompt.
        client_account: ClientAccountId,
        /// Keys of the prompt's complete blocks, in order.
        keys: Vec<BlockKey>,
    },
    /// A store committed a block: just now or, in a handoff of ownership, some time ago.
    Committed(BlockWrite),
    /// A copy must no longer be read.
    Freed {
        /// Key of the block.
        key: BlockKey,
        /// Store that held it.
        target: TargetId,
        /// Generation of the freed copy.
        generation: Generation,
    },
}
