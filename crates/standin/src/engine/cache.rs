//! The prefix cache of an engine, with least-recently-used eviction.

use std::collections::{BTreeMap, HashMap};

/// Identity of a cached block. A lookup must match in every part.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct CacheKey {
    /// Cache salt of the run that computed the block; `None` for an imported block until a run uses
    /// it.
    pub salt: Option<String>,
    /// Digest of the version that the engine reported when the block was cached.
    pub version: String,
    /// Block key in hex.
    pub key: String,
}

#[derive(Clone, Debug)]
struct Entry {
    last_use: u64,
    content_version: String,
}

/// Cached blocks, limited in number.
#[derive(Clone, Debug)]
pub struct PrefixCache {
    capacity_count: usize,
    clock: u64,
    entries: HashMap<CacheKey, Entry>,
    by_use: BTreeMap<u64, CacheKey>,
}

impl PrefixCache {
    /// Creates an empty cache for up to `capacity_count` blocks.
    #[must_use]
    pub fn new(capacity_count: usize) -> Self {
        Self {
            capacity_count,
            clock: 0,
            entries: HashMap::new(),
            by_use: BTreeMap::new(),
        }
    }

    /// Number of cached blocks.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no block is cached.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Looks a block up, marks it as most recently used, and returns the version whose weights
    /// computed it. An imported block has no salt and is bound to the salt of its first use.
    pub fn get(&mut self, wanted: &CacheKey) -> Option<String> {
        let unbound = CacheKey {
            salt: None,
            ..wanted.clone()
        };
        let entry = self.remove(wanted).or_else(|| self.remove(&unbound))?;
        let content_version = entry.content_version;
        self.insert(wanted.clone(), content_version.clone());
        Some(content_version)
    }

    /// Version whose weights computed a block, under any salt. Does not affect the eviction order.
    #[must_use]
    pub fn content_version(&self, version: &str, key: &str) -> Option<String> {
        self.entries
            .iter()
            .find(|(entry, _)| entry.key == key && entry.version == version)
            .map(|(_, entry)| entry.content_version.clone())
    }

    /// Whether the block key is cached, for any version, under a salt other than the wanted one.
    #[must_use]
    pub fn cached_under_other_salt(&self, wanted: &CacheKey) -> bool {
        self.entries.keys().any(|entry| {
            entry.key == wanted.key && entry.salt.is_some() && entry.salt != wanted.salt
        })
    }

    /// Adds a block as most recently used and returns the blocks evicted to make room.
    pub fn insert(&mut self, key: CacheKey, content_version: String) -> Vec<CacheKey> {
        self.remove(&key);
        self.clock += 1;
        let entry = Entry {
            last_use: self.clock,
            content_version,
        };
        self.by_use.insert(self.clock, key.clone());
        self.entries.insert(key, entry);
        let mut evicted = Vec::new();
        while self.entries.len() > self.capacity_count {
            let Some((_, oldest)) = self.by_use.pop_first() else {
                break;
            };
            self.entries.remove(&oldest);
            evicted.push(oldest);
        }
        evicted
    }

    /// Removes all blocks and returns their keys.
    pub fn clear(&mut self) -> Vec<CacheKey> {
        self.by_use.clear();
        self.entries.drain().map(|(key, _)| key).collect()
    }

    /// Keys of all blocks, in arbitrary order.
    pub fn keys(&self) -> impl Iterator<Item = &CacheKey> {
        self.entries.keys()
    }

    fn remove(&mut self, key: &CacheKey) -> Option<Entry> {
        let entry = self.entries.remove(key)?;
        self.by_use.remove(&entry.last_use);
        Some(entry)
    }
}
