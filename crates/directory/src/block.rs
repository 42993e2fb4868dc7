//! Compact representation of a block and its copies.

use {
    crate::{Generation, block_reuse::BlockReuse, interner::NameId},
    std::time::Duration,
};

/// Resolution of the times that are kept for each block.
const TICK_MS: u128 = 10;

/// State of a copy of a block.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CopyState {
    /// A store is receiving the copy; it is not readable yet.
    Writing,
    /// A store has the complete copy; it is readable.
    Committed,
    /// The store copy is no longer readable. The entry is kept as a tombstone, so that a late
    /// message about the copy cannot make it readable again.
    Freed,
    /// According to its cache events, an engine has the block in memory.
    Cached,
}

/// Time since the caller's origin in ticks of 10 ms; saturates after 497 days.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct Tick(u32);

impl From<Duration> for Tick {
    fn from(time: Duration) -> Self {
        Self(u32::try_from(time.as_millis() / TICK_MS).unwrap_or(u32::MAX))
    }
}

impl Tick {
    /// Seconds from `self` to `later`; 0 if `later` is earlier.
    #[allow(clippy::cast_precision_loss)]
    pub(crate) fn seconds_until(self, later: Self) -> f32 {
        later.0.saturating_sub(self.0) as f32 * TICK_MS as f32 / 1_000.0
    }
}

/// A copy of a block at one target.
#[derive(Clone, Debug)]
pub(crate) struct CopyEntry {
    /// Generation of a store copy, or sequence number of the cache event for a copy in engine
    /// memory.
    pub(crate) generation: Generation,
    /// When the state last changed.
    pub(crate) changed: Tick,
    /// Target that holds the copy.
    pub(crate) target: NameId,
    /// State of the copy.
    pub(crate) state: CopyState,
    /// Whether the store has confirmed that it deleted the freed copy.
    pub(crate) is_deleted: bool,
}

/// One block.
#[derive(Clone, Debug, Default)]
pub(crate) struct Block {
    /// Copies, at most one for each target.
    pub(crate) copies: Vec<CopyEntry>,
    /// How often and when the block was used.
    pub(crate) reuse: BlockReuse,
    /// Size in bytes; 0 if the block is known only from cache events.
    pub(crate) size_bytes: u32,
    /// Time that an engine takes to compute the block, in seconds.
    pub(crate) recompute_s: f32,
    /// Client account the block belongs to, if known.
    pub(crate) account: Option<NameId>,
    /// Index of the block in its prompt, starting at 0.
    pub(crate) depth: u16,
    /// Whether any engine has computed the block before.
    pub(crate) is_computed: bool,
}

impl Block {
    /// The copy that `target` holds.
    pub(crate) fn copy(&self, target: NameId) -> Option<&CopyEntry> {
        self.copies.iter().find(|entry| entry.target == target)
    }

    /// The copy that `target` holds.
    pub(crate) fn copy_mut(&mut self, target: NameId) -> Option<&mut CopyEntry> {
        self.copies.iter_mut().find(|entry| entry.target == target)
    }

    /// Adds a copy. Reserves no spare capacity, since most blocks have only one or two copies.
    pub(crate) fn push(&mut self, entry: CopyEntry) {
        self.copies.reserve_exact(1);
        self.copies.push(entry);
    }

    /// Removes the copy that `target` holds.
    pub(crate) fn remove(&mut self, target: NameId) -> Option<CopyEntry> {
        let index = self
            .copies
            .iter()
            .position(|entry| entry.target == target)?;
        Some(self.copies.swap_remove(index))
    }

    /// Number of stores that hold the block or are receiving it.
    pub(crate) fn store_copies_count(&self) -> usize {
        self.copies
            .iter()
            .filter(|entry| matches!(entry.state, CopyState::Writing | CopyState::Committed))
            .count()
    }
}
