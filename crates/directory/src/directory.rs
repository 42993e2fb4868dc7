//! The directory: blocks, their copies, and the life cycle of a copy in a store.

use {
    crate::{
        AccountReuse, BlockCopy, CopyState, Generation, Place, StoreCopy, StoreWrite, WriteError,
        block::{Block, CopyEntry, Tick},
        cache_events::EngineCacheView,
        error::{DeletingSnafu, ExistsSnafu, FreedSnafu, NotWritingSnafu, TooManyTargetsSnafu},
        interner::{Interner, NameId},
        store_usage::StoreUsage,
    },
    catalog::{ClientAccountId, TargetId},
    prefix::BlockKey,
    snafu::{OptionExt, ensure},
    std::{collections::HashMap, time::Duration},
};

/// How long the tombstone of a deleted copy is kept, so that a listing or message that the store
/// sent before the deletion cannot make the copy readable again.
const FREED_RETENTION: Duration = Duration::from_mins(10);

/// How long the tombstone of a freed copy is kept if its store never confirms the deletion.
const UNCONFIRMED_RETENTION: Duration = Duration::from_hours(24);

/// The blocks of one prompt.
#[derive(Clone, Copy, Debug)]
pub struct PromptBlocks<'a> {
    /// Client account that sent the prompt.
    pub client_account: &'a ClientAccountId,
    /// Keys of the prompt's complete blocks, in order.
    pub keys: &'a [BlockKey],
    /// Size of one block in bytes.
    pub block_bytes: u64,
    /// Time that an engine takes to compute one block.
    pub block_recompute: Duration,
}

/// Blocks and copies that one entry instance knows of.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    pub(crate) blocks: HashMap<BlockKey, Block>,
    pub(crate) targets: Interner,
    pub(crate) accounts: Interner,
    pub(crate) stores: HashMap<NameId, StoreUsage>,
    pub(crate) account_reuse: HashMap<NameId, AccountReuse>,
    /// View of each engine's memory.
    pub(crate) engine_caches: HashMap<NameId, EngineCacheView>,
    /// When each target was last forgotten; listings from before that are ignored.
    forgotten_at: HashMap<NameId, Tick>,
}

impl Directory {
    /// Records that a write to a store begins. The copy stays unreadable until
    /// [`Self::commit`].
    ///
    /// # Errors
    /// [`WriteError::Exists`] if the store has the block or is receiving it,
    /// [`WriteError::Freed`] if this generation was freed before, [`WriteError::Deleting`] if the
    /// store has not yet deleted the last freed generation, [`WriteError::TooManyTargets`] if the
    /// store is not tracked.
    pub fn begin_write(&mut self, write: &StoreWrite, now: Duration) -> Result<(), WriteError> {
        let target = self.targets.intern(&write.target);
        let target = target.context(TooManyTargetsSnafu {
            target: &write.target,
        })?;
        let account = self.accounts.intern(&write.client_account);
        let block = self.blocks.entry(write.key).or_default();
        if let Some(entry) = block.copy(target) {
            let generation = entry.generation;
            let target = &write.target;
            ensure!(
                entry.state == CopyState::Freed,
                ExistsSnafu { target, generation }
            );
            ensure!(
                generation != write.generation,
                FreedSnafu { target, generation }
            );
            ensure!(entry.is_deleted, DeletingSnafu { target, generation });
        }
        if block
            .copies
            .iter()
            .all(|entry| entry.state == CopyState::Cached)
        {
            block.size_bytes = u32::try_from(write.size_bytes).unwrap_or(u32::MAX);
        }
        block.account = account;
        let (owner, size_bytes) = (block.account, block.size_bytes);
        block.remove(target);
        block.push(CopyEntry {
            generation: write.generation,
            changed: now.into(),
            target,
            state: CopyState::Writing,
            is_deleted: false,
        });
        let usage = self.stores.entry(target).or_default();
        usage.add(owner, size_bytes);
        Ok(())
    }

    /// Makes a copy readable, after the store has confirmed that it received all of it.
    ///
    /// # Errors
    /// [`WriteError::Freed`] if the copy was freed during its write, [`WriteError::NotWriting`] if
    /// no such write is known. In both cases the caller must delete the copy from the store.
    pub fn commit(
        &mut self,
        key: &BlockKey,
        target: &TargetId,
        generation: Generation,
        now: Duration,
    ) -> Result<(), WriteError> {
        let entry = self
            .targets
            .find(target)
            .and_then(|index| self.blocks.get_mut(key)?.copy_mut(index))
            .filter(|entry| entry.generation == generation);
        let Some(entry) = entry else {
            return NotWritingSnafu { target, generation }.fail();
        };
        ensure!(
            entry.state != CopyState::Freed,
            FreedSnafu { target, generation }
        );
        entry.state = CopyState::Committed;
        entry.changed = now.into();
        Ok(())
    }

    /// Adds a committed copy from a store's listing, for example after this instance was replaced.
    /// `listed_at` is when the listing was requested; anything that the directory has learned since
    /// then takes precedence. A copy that is being written stays unreadable, and a freed copy is
    /// scheduled for deletion again ([`Self::pending_deletes`]). Returns whether the copy is
    /// readable now.
    pub fn adopt_listed_copy(
        &mut self,
        write: &StoreWrite,
        listed_at: Duration,
        now: Duration,
    ) -> bool {
        let Some(target) = self.targets.intern(&write.target) else {
            return false;
        };
        let forgotten_at = self.forgotten_at.get(&target);
        let is_stale = now.saturating_sub(listed_at) >= FREED_RETENTION
            || forgotten_at.is_some_and(|forgotten_at| Tick::from(listed_at) <= *forgotten_at);
        if is_stale {
            return false;
        }
        let block = self.blocks.get(&write.key);
        let known = block.and_then(|block| block.copy(target));
        if let Some(entry) = known.filter(|entry| entry.state != CopyState::Cached) {
            let is_same = entry.generation == write.generation;
            let is_newer = Tick::from(listed_at) > entry.changed;
            match entry.state {
                CopyState::Committed => return is_same,
                CopyState::Freed if is_same && is_newer => {
                    self.undo_deletion(&write.key, &write.target, now);
                    return false;
                }
                CopyState::Freed if is_newer && entry.is_deleted => {}
                _ => return false,
            }
        }
        self.begin_write(write, now).is_ok()
            && self
                .commit(&write.key, &write.target, write.generation, now)
                .is_ok()
    }

    /// Frees all store copies of a block, including those still being written. From now on no
    /// lookup returns them. Returns the copies that the caller must delete from the stores.
    pub fn free(&mut self, key: &BlockKey, now: Duration) -> Vec<StoreCopy> {
        self.free_where(key, now, |_| true)
    }

    /// Like [`Self::free`], but only for the copy in one store.
    pub fn free_copy(
        &mut self,
        key: &BlockKey,
        target: &TargetId,
        now: Duration,
    ) -> Option<StoreCopy> {
        let target = self.targets.find(target)?;
        self.free_where(key, now, |holder| holder == target).pop()
    }

    fn free_where<Wanted>(
        &mut self,
        key: &BlockKey,
        now: Duration,
        wanted: Wanted,
    ) -> Vec<StoreCopy>
    where
        Wanted: Fn(NameId) -> bool,
    {
        let Some(block) = self.blocks.get_mut(key) else {
            return Vec::new();
        };
        let size_bytes = u64::from(block.size_bytes);
        let mut freed = Vec::new();
        for entry in &mut block.copies {
            let in_use = matches!(entry.state, CopyState::Writing | CopyState::Committed);
            if !in_use || !wanted(entry.target) {
                continue;
            }
            entry.state = CopyState::Freed;
            entry.changed = now.into();
            freed.push(StoreCopy {
                key: *key,
                target: self.targets.name(entry.target).clone(),
                generation: entry.generation,
                size_bytes,
            });
        }
        freed
    }

    /// Removes all readable copies of a target, for example after it failed or restarted empty.
    /// Copies that were freed or being written stay scheduled for deletion, in case the target
    /// comes back with them.
    pub fn forget_target(&mut self, target: &TargetId, now: Duration) {
        let Some(index) = self.targets.find(target) else {
            return;
        };
        let mut usage = StoreUsage::default();
        for block in self.blocks.values_mut() {
            let (account, size_bytes) = (block.account, block.size_bytes);
            let Some(entry) = block.copy_mut(index) else {
                continue;
            };
            if matches!(entry.state, CopyState::Committed | CopyState::Cached) {
                block.remove(index);
                continue;
            }
            if entry.state == CopyState::Writing {
                entry.state = CopyState::Freed;
                entry.changed = now.into();
            }
            if !entry.is_deleted {
                usage.add(account, size_bytes);
            }
        }
        self.stores.insert(index, usage);
        self.engine_caches.remove(&index);
        self.forgotten_at.insert(index, now.into());
    }

    /// Readable copies of `key`: committed copies in stores, and copies in engine memory.
    pub fn copies<'a>(&'a self, key: &BlockKey) -> impl Iterator<Item = BlockCopy> + use<'a> {
        let block = self.blocks.get(key);
        block.into_iter().flat_map(move |block| {
            block
                .copies
                .iter()
                .filter_map(move |entry| self.readable_copy(block, entry))
        })
    }

    /// Returns the copy as readers see it, if it is readable.
    pub(crate) fn readable_copy(&self, block: &Block, entry: &CopyEntry) -> Option<BlockCopy> {
        let (place, generation, confidence) = match entry.state {
            CopyState::Committed => (Place::Store, entry.generation, 1.0),
            CopyState::Cached => (Place::Memory, 0, self.confidence(entry)),
            CopyState::Writing | CopyState::Freed => return None,
        };
        Some(BlockCopy {
            target: self.targets.name(entry.target).clone(),
            generation,
            size_bytes: u64::from(block.size_bytes),
            place,
            confidence,
        })
    }

    /// Number of leading blocks of a prompt that any engine has computed before. Computing one of
    /// them again counts as recomputation.
    #[must_use]
    pub fn computed_prefix_blocks(&self, keys: &[BlockKey]) -> usize {
        keys.iter()
            .take_while(|key| self.blocks.get(*key).is_some_and(|block| block.is_computed))
            .count()
    }

    /// Records that an engine has the blocks of a prompt and answered from them. The blocks count
    /// as computed, and each use raises their value for eviction and export.
    pub fn record_use(&mut self, prompt: &PromptBlocks<'_>, now: Duration) {
        let account = self.accounts.intern(prompt.client_account);
        let mut untracked = AccountReuse::default();
        let account_reuse = account.map_or(&mut untracked, |account| {
            self.account_reuse.entry(account).or_default()
        });
        for (depth, key) in prompt.keys.iter().enumerate() {
            let block = self.blocks.entry(*key).or_default();
            if block.is_computed {
                account_reuse.record_reuse(block.reuse.idle_s(now), !block.reuse.is_reused());
            } else {
                account_reuse.computed_blocks_count += 1;
            }
            block.reuse.record_use(now);
            block.is_computed = true;
            block.account = account;
            block.depth = u16::try_from(depth).unwrap_or(u16::MAX);
            if block.size_bytes == 0 {
                block.size_bytes = u32::try_from(prompt.block_bytes).unwrap_or(u32::MAX);
            }
            block.recompute_s = prompt.block_recompute.as_secs_f32();
        }
    }

    /// Reuse statistics of a client account.
    #[must_use]
    pub fn account_reuse(&self, account: &ClientAccountId) -> AccountReuse {
        let index = self.accounts.find(account);
        index
            .and_then(|index| self.account_reuse.get(&index).copied())
            .unwrap_or_default()
    }

    /// Number of known blocks, with or without copies.
    #[must_use]
    pub fn blocks_count(&self) -> usize {
        self.blocks.len()
    }

    /// Removes tombstones: of deleted copies after ten minutes, and of copies whose deletion was
    /// never confirmed after a day. Also removes blocks without copies that were not used for
    /// `idle`.
    pub fn purge(&mut self, idle: Duration, now: Duration) {
        let tick = Tick::from(now);
        self.blocks.retain(|_, block| {
            block.copies.retain(|entry| {
                let retention = if entry.is_deleted {
                    FREED_RETENTION
                } else {
                    UNCONFIRMED_RETENTION
                };
                entry.state != CopyState::Freed
                    || entry.changed.seconds_until(tick) < retention.as_secs_f32()
            });
            !block.copies.is_empty() || block.reuse.idle_s(now) < idle.as_secs_f32()
        });
    }
}
