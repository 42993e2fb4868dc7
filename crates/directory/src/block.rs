//! One block and its copies, in compact form.

use {
    crate::{Generation, block_reuse::BlockReuse, interner::NameId},
    std::time::Duration,
};

/// Resolution of the times kept for each block.
const TICK_MS: u128 = 10;

/// State of a copy in a store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CopyState {
    /// Being written; not readable.
    Writing,
    /// Whole and readable.
    Committed,
    /// Not readable any more; kept so that a late message about the copy cannot revive it.
    Freed,
    /// In engine memory as far as cache events tell.
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

/// One copy.
#[derive(Clone, Debug)]
pub(crate) struct CopyEntry {
    /// Generation of a store copy; sequence number of the cache event for one in engine memory.
    pub(crate) generation: Generation,
    /// When the state last changed.
    pub(crate) changed: Tick,
    /// Holder of the copy.
    pub(crate) target: NameId,
    /// State of the copy.
    pub(crate) state: CopyState,
    /// Whether the store has deleted the freed copy.
    pub(crate) is_deleted: bool,
}

/// One block.
#[derive(Clone, Debug, Default)]
pub(crate) struct Block {
    /// Copies, at most one for each target.
    pub(crate) copies: Vec<CopyEntry>,
    /// How often the block is used.
    pub(crate) reuse: BlockReuse,
    /// Size in bytes; 0 if only cache events told of the block.
    pub(crate) size_bytes: u32,
    /// Time to compute the block in seconds.
    pub(crate) recompute_s: f32,
    /// Client account the block belongs to, if known.
    pub(crate) account: Option<NameId>,
    /// Position in the prompt, first block 0.
    pub(crate) depth: u16,
    /// Whether some engine has computed the block.
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

    /// Adds a copy. Most blocks have one or two, so no room is kept for more.
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

    /// Whether a store holds the block or is about to.
    pub(crate) fn store_copies_count(&self) -> usize {
        self.copies
            .iter()
            .filter(|entry| matches!(entry.state, CopyState::Writing | CopyState::Committed))
            .count()
    }
}
