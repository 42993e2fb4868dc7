//! What this instance and its peers know about cached blocks.

use {
    catalog::ClientAccountId,
    cluster::DirectoryUpdate,
    directory::{Directory, Place, PrefixMatch, StoreWrite},
    prefix::BlockKey,
    std::{
        future::Future,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
};

/// What is known about a prompt's blocks.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FoundBlocks {
    /// For each target that has the first block, the leading blocks it can supply.
    pub leading: Vec<PrefixMatch>,
    /// Leading blocks that were computed before.
    pub seen_blocks: usize,
    /// What was missing while looking, for example an owner that did not answer.
    pub missing: Vec<String>,
}

/// The other instances' part of the directory.
pub trait PeerDirectory: Clone + Send + Sync + 'static {
    /// What the owners of the prompt's first block know. Bounded in time; [`FoundBlocks::missing`]
    /// names what was not had.
    fn lookup(
        &self,
        account: &ClientAccountId,
        keys: &[BlockKey],
    ) -> impl Future<Output = FoundBlocks> + Send;

    /// Tells the owners of `root` about changes, in the background.
    fn publish(&self, root: &BlockKey, updates: Vec<DirectoryUpdate>);
}

/// For an instance without peers.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoPeers;

impl PeerDirectory for NoPeers {
    async fn lookup(&self, _account: &ClientAccountId, _keys: &[BlockKey]) -> FoundBlocks {
        FoundBlocks::default()
    }

    fn publish(&self, _root: &BlockKey, _updates: Vec<DirectoryUpdate>) {}
}

/// This instance's directory, shared by its tasks. Locked for short, synchronous steps only.
#[derive(Clone, Debug)]
pub struct SharedDirectory {
    directory: Arc<Mutex<Directory>>,
    origin: Instant,
}

impl Default for SharedDirectory {
    fn default() -> Self {
        Self {
            directory: Arc::default(),
            origin: Instant::now(),
        }
    }
}

impl SharedDirectory {
    /// Time since this instance started, as the directory counts it.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    /// The directory, locked.
    pub fn lock(&self) -> MutexGuard<'_, Directory> {
        self.directory
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// What this instance knows about a prompt's blocks.
    #[must_use]
    pub fn lookup(&self, keys: &[BlockKey]) -> FoundBlocks {
        let directory = self.lock();
        FoundBlocks {
            leading: directory.lookup(keys),
            seen_blocks: directory.computed_prefix_blocks(keys),
            missing: Vec::new(),
        }
    }

    /// Takes in changes that another instance made.
    pub fn apply(&self, updates: &[DirectoryUpdate]) {
        let now = self.now();
        let mut directory = self.lock();
        for update in updates {
            match update {
                DirectoryUpdate::Used {
                    client_account,
                    keys,
                } => directory.record_use(
                    &directory::PromptBlocks {
                        client_account,
                        keys,
                        block_bytes: 0,
                        block_recompute: Duration::ZERO,
                    },
                    now,
                ),
                DirectoryUpdate::Committed(write) => {
                    directory.adopt_listed_copy(&StoreWrite::from(write.clone()), now, now);
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
    /// Adds what another source found. Of two answers about one target the longer one counts.
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

    /// The leading blocks in the memory of one engine.
    #[must_use]
    pub fn in_memory(&self, target: &str) -> Option<&PrefixMatch> {
        self.leading
            .iter()
            .find(|leading| leading.place == Place::Memory && leading.target == target)
    }

    /// The leading blocks in each store.
    pub fn in_stores(&self) -> impl Iterator<Item = &PrefixMatch> {
        self.leading
            .iter()
            .filter(|leading| leading.place == Place::Store)
    }
}
