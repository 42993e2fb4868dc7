//! The directory of cached blocks, at this instance and at its peers.

use {
    catalog::ClientAccountId,
    cluster::DirectoryUpdate,
    directory::{Directory, Leading, Place, Write},
    prefix::BlockKey,
    std::{
        future::Future,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
};

/// The result of looking up a prompt's blocks.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FoundBlocks {
    /// For each target that has the first block, the leading blocks that it can supply.
    pub leading: Vec<Leading>,
    /// Number of leading blocks that were computed before.
    pub seen_blocks: usize,
    /// What the lookup could not obtain, in words; for example, that no owner answered in time.
    pub missing: Vec<String>,
}

/// Access to the directories of the other instances.
pub trait PeerDirectory: Clone + Send + Sync + 'static {
    /// Asks the owners of the prompt's first block. Returns within a bounded time;
    /// [`FoundBlocks::missing`] says what could not be obtained.
    fn lookup(
        &self,
        account: &ClientAccountId,
        keys: &[BlockKey],
    ) -> impl Future<Output = FoundBlocks> + Send;

    /// Sends changes to the owners of the block `root` in the background.
    fn publish(&self, root: &BlockKey, updates: Vec<DirectoryUpdate>);
}

/// The peer directory of an instance without peers. Finds nothing.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoPeers;

impl PeerDirectory for NoPeers {
    async fn lookup(&self, _account: &ClientAccountId, _keys: &[BlockKey]) -> FoundBlocks {
        FoundBlocks::default()
    }

    fn publish(&self, _root: &BlockKey, _updates: Vec<DirectoryUpdate>) {}
}

/// This instance's directory, shared by its tasks. It is locked for short, synchronous steps only.
#[derive(Clone, Debug)]
pub struct SharedDirectory {
    directory: Arc<Mutex<Directory>>,
    started_at: Instant,
}

impl Default for SharedDirectory {
    fn default() -> Self {
        Self {
            directory: Arc::default(),
            started_at: Instant::now(),
        }
    }
}

impl SharedDirectory {
    /// Time since this directory was created. All times in the directory count from then.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Locks the directory.
    pub fn lock(&self) -> MutexGuard<'_, Directory> {
        self.directory
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Looks a prompt's blocks up in this instance's directory.
    #[must_use]
    pub fn lookup(&self, keys: &[BlockKey]) -> FoundBlocks {
        let directory = self.lock();
        FoundBlocks {
            leading: directory.lookup(keys),
            seen_blocks: directory.seen_blocks(keys),
            missing: Vec::new(),
        }
    }

    /// Applies changes made by other instances.
    pub fn apply(&self, updates: &[DirectoryUpdate]) {
        let now = self.now();
        let mut directory = self.lock();
        for update in updates {
            match update {
                DirectoryUpdate::Used {
                    client_account,
                    keys,
                } => directory.record_use(
                    &directory::Prompt {
                        client_account,
                        keys,
                        block_bytes: 0,
                        block_recompute: Duration::ZERO,
                    },
                    now,
                ),
                DirectoryUpdate::Committed(write) => {
                    directory.adopt(&Write::from(write.clone()), now, now);
                }
                DirectoryUpdate::Freed {
                    key,
                    target,
                    generation,
                } => {
                    let is_known = directory
                        .copies(key)
                        .any(|copy| copy.target == *target && copy.generation == *generation);
                    if is_known {
                        directory.free_copy(key, target, now);
                    }
                }
            }
        }
    }
}

impl FoundBlocks {
    /// Adds the result of another lookup. Of two results for the same target and place, the one
    /// with more blocks is kept.
    #[must_use]
    pub fn merge(mut self, other: Self) -> Self {
        for leading in other.leading {
            let known = self
                .leading
                .iter_mut()
                .find(|known| known.target == leading.target && known.place == leading.place);
            match known {
                Some(known) if known.copies.len() >= leading.copies.len() => {}
                Some(known) => *known = leading,
                None => self.leading.push(leading),
            }
        }
        self.seen_blocks = self.seen_blocks.max(other.seen_blocks);
        self.missing.extend(other.missing);
        self
    }

    /// Leading blocks in the memory of an engine.
    #[must_use]
    pub fn in_memory(&self, target: &str) -> Option<&Leading> {
        self.leading
            .iter()
            .find(|leading| leading.place == Place::Memory && leading.target == target)
    }

    /// Leading blocks in each store.
    pub fn in_stores(&self) -> impl Iterator<Item = &Leading> {
        self.leading
            .iter()
            .filter(|leading| leading.place == Place::Store)
    }
}
