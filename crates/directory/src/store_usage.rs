//! Accounts for the bytes used in each store, by client account.

use {
    crate::{CopyState, Directory, Generation, StoreCopy, interner::NameId},
    catalog::{ClientAccountId, TargetId},
    prefix::BlockKey,
    std::{collections::HashMap, time::Duration},
};

/// Bytes that one store holds, is receiving, or has not yet deleted.
#[derive(Clone, Debug, Default)]
pub(crate) struct StoreUsage {
    /// Bytes of all client accounts.
    used_bytes: u64,
    /// Bytes of each client account.
    by_account: HashMap<NameId, u64>,
}

impl StoreUsage {
    /// Adds the bytes of a copy.
    pub(crate) fn add(&mut self, account: Option<NameId>, size_bytes: u32) {
        self.used_bytes += u64::from(size_bytes);
        if let Some(account) = account {
            *self.by_account.entry(account).or_default() += u64::from(size_bytes);
        }
    }

    /// Subtracts the bytes of a copy.
    pub(crate) fn subtract(&mut self, account: Option<NameId>, size_bytes: u32) {
        let size_bytes = u64::from(size_bytes);
        self.used_bytes = self.used_bytes.saturating_sub(size_bytes);
        let Some(account) = account else { return };
        if let Some(bytes) = self.by_account.get_mut(&account) {
            *bytes = bytes.saturating_sub(size_bytes);
        }
    }
}

impl Directory {
    /// Records that a store has deleted a freed copy, so that its bytes no longer count. Its
    /// tombstone stays until [`Self::purge`] removes it.
    pub fn confirm_deletion(
        &mut self,
        key: &BlockKey,
        target: &TargetId,
        generation: Generation,
        now: Duration,
    ) {
        let Some(index) = self.targets.find(target) else {
            return;
        };
        let Some(block) = self.blocks.get_mut(key) else {
            return;
        };
        let Some(entry) = block.copy_mut(index) else {
            return;
        };
        if entry.state != CopyState::Freed || entry.generation != generation || entry.is_deleted {
            return;
        }
        entry.is_deleted = true;
        entry.changed = now.into();
        let (account, size_bytes) = (block.account, block.size_bytes);
        if let Some(usage) = self.stores.get_mut(&index) {
            usage.subtract(account, size_bytes);
        }
    }

    /// Marks a freed copy as not deleted after all, because the store still lists it.
    pub(crate) fn undo_deletion(&mut self, key: &BlockKey, target: &TargetId, now: Duration) {
        let Some(index) = self.targets.find(target) else {
            return;
        };
        let Some(block) = self.blocks.get_mut(key) else {
            return;
        };
        let Some(entry) = block.copy_mut(index).filter(|entry| entry.is_deleted) else {
            return;
        };
        entry.is_deleted = false;
        entry.changed = now.into();
        let (account, size_bytes) = (block.account, block.size_bytes);
        let usage = self.stores.entry(index).or_default();
        usage.add(account, size_bytes);
    }

    /// Freed copies that a store has not yet deleted. Deletion is idempotent, so the caller may
    /// retry it until [`Self::confirm_deletion`] was called for each copy.
    #[must_use]
    pub fn pending_deletes(&self, store: &TargetId) -> Vec<StoreCopy> {
        let Some(index) = self.targets.find(store) else {
            return Vec::new();
        };
        let copies = self.blocks.iter().filter_map(|(key, block)| {
            let entry = block.copy(index)?;
            let is_pending = entry.state == CopyState::Freed && !entry.is_deleted;
            is_pending.then(|| StoreCopy {
                key: *key,
                target: store.clone(),
                generation: entry.generation,
                size_bytes: u64::from(block.size_bytes),
            })
        });
        copies.collect()
    }

    /// Bytes that a store holds, is receiving, or has not yet deleted.
    #[must_use]
    pub fn store_used_bytes(&self, store: &TargetId) -> u64 {
        let usage = self
            .targets
            .find(store)
            .and_then(|store| self.stores.get(&store));
        usage.map_or(0, |usage| usage.used_bytes)
    }

    /// The part of [`Self::store_used_bytes`] that belongs to one client account.
    #[must_use]
    pub fn account_used_bytes(&self, store: &TargetId, account: &ClientAccountId) -> u64 {
        let usage = self
            .targets
            .find(store)
            .and_then(|store| self.stores.get(&store));
        let account = self.accounts.find(account);
        usage
            .zip(account)
            .and_then(|(usage, account)| usage.by_account.get(&account).copied())
            .unwrap_or(0)
    }
}
