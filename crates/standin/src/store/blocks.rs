//! Blocks and their states: writing, committed, freed.

use {
    bytes::{Bytes, BytesMut},
    serde::{Deserialize, Serialize},
    snafu::Snafu,
    std::collections::BTreeMap,
};

/// Distinguishes one write of a key from every other write of it.
pub type Generation = u64;

/// State of one copy in the list of blocks.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum BlockState {
    /// Bytes are arriving.
    Writing,
    /// Whole; may be read.
    Committed,
}

/// Where a block is kept.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Tier {
    /// Memory.
    Memory,
    /// Disk; reads take longer.
    Disk,
}

/// One entry of the list of blocks.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BlockInfo {
    /// Block key in hex.
    pub key: String,
    /// Generation.
    pub generation: Generation,
    /// Size in bytes.
    pub size_bytes: u64,
    /// Client account that the block belongs to.
    pub client_account: String,
    /// Whether it may be read.
    pub state: BlockState,
    /// Where it is kept.
    pub tier: Tier,
}

/// A call that the store refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum StoreError {
    /// There is no such block.
    #[snafu(display("block is not here; look it up again"))]
    NotFound,
    /// There is a block of another generation.
    #[snafu(display("block has another generation; look it up again"))]
    OtherGeneration,
    /// The block is still being written.
    #[snafu(display("block is still being written; use another copy"))]
    StillWriting,
    /// Memory and disk are full.
    #[snafu(display("store is full; free blocks first"))]
    Full,
    /// Fewer or more bytes than announced, or another checksum.
    #[snafu(display("body does not match size_bytes and x-checksum; write it again"))]
    Mismatch,
}

#[derive(Clone, Debug)]
struct Writing {
    size_bytes: u64,
    client_account: String,
    content: BytesMut,
}

#[derive(Clone, Debug)]
struct Committed {
    generation: Generation,
    client_account: String,
    content: Bytes,
    tier: Tier,
}

#[derive(Clone, Debug, Default)]
struct Slot {
    committed: Option<Committed>,
    writing: BTreeMap<Generation, Writing>,
    /// Content of the last block freed, for unsafe reads only.
    last_freed: Option<Bytes>,
}

/// All blocks of a store instance.
#[derive(Clone, Debug)]
pub struct Blocks {
    memory_bytes: u64,
    disk_bytes: u64,
    used_memory_bytes: u64,
    used_bytes: u64,
    /// Rises when all content is lost, so that writes from before cannot commit.
    epoch: u64,
    slots: BTreeMap<String, Slot>,
}

impl Blocks {
    /// An empty store.
    #[must_use]
    pub fn new(memory_bytes: u64, disk_bytes: u64) -> Self {
        Self {
            memory_bytes,
            disk_bytes,
            used_memory_bytes: 0,
            used_bytes: 0,
            epoch: 0,
            slots: BTreeMap::new(),
        }
    }

    /// Capacity of memory and disk in bytes.
    #[must_use]
    pub fn capacity_bytes(&self) -> u64 {
        self.memory_bytes + self.disk_bytes
    }

    /// Bytes of all blocks, also of those being written.
    #[must_use]
    pub fn used_bytes(&self) -> u64 {
        self.used_bytes
    }

    /// Begins to write a block and returns the epoch that [`Blocks::commit`] needs.
    ///
    /// # Errors
    ///
    /// Another generation is committed, this one is there already, or there is no room.
    pub fn begin(
        &mut self,
        key: &str,
        generation: Generation,
        size_bytes: u64,
        client_account: &str,
    ) -> Result<u64, StoreError> {
        if self.used_bytes + size_bytes > self.capacity_bytes() {
            return Err(StoreError::Full);
        }
        let slot = self.slots.entry(key.to_owned()).or_default();
        if slot.committed.is_some() {
            return Err(StoreError::OtherGeneration);
        }
        if slot.writing.contains_key(&generation) {
            return Err(StoreError::StillWriting);
        }
        let writing = Writing {
            size_bytes,
            client_account: client_account.to_owned(),
            content: BytesMut::new(),
        };
        slot.writing.insert(generation, writing);
        self.used_bytes += size_bytes;
        Ok(self.epoch)
    }

    /// Adds bytes to a block being written. Bytes of a write that was given up are dropped.
    pub fn append(&mut self, epoch: u64, key: &str, generation: Generation, bytes: &[u8]) {
        if epoch != self.epoch {
            return;
        }
        let slot = self.slots.get_mut(key);
        if let Some(writing) = slot.and_then(|slot| slot.writing.get_mut(&generation)) {
            writing.content.extend_from_slice(bytes);
        }
    }

    /// Makes a block readable if all its bytes arrived; else nothing of it is kept.
    ///
    /// # Errors
    ///
    /// The bytes do not match, another generation was committed first, or the block was freed or
    /// lost while it was written.
    pub fn commit(
        &mut self,
        epoch: u64,
        key: &str,
        generation: Generation,
        checksum: &str,
    ) -> Result<(), StoreError> {
        if epoch != self.epoch {
            return Err(StoreError::NotFound);
        }
        let writing = self.remove_writing(key, generation)?;
        let content = writing.content.freeze();
        if content.len() as u64 != writing.size_bytes
            || blake3::hash(&content).to_hex().as_str() != checksum
        {
            return Err(StoreError::Mismatch);
        }
        let slot = self.slots.entry(key.to_owned()).or_default();
        if slot.committed.is_some() {
            return Err(StoreError::OtherGeneration);
        }
        let fits = self.used_memory_bytes + writing.size_bytes <= self.memory_bytes;
        let tier = if fits { Tier::Memory } else { Tier::Disk };
        if fits {
            self.used_memory_bytes += writing.size_bytes;
        }
        self.used_bytes += writing.size_bytes;
        slot.committed = Some(Committed {
            generation,
            client_account: writing.client_account,
            content,
            tier,
        });
        Ok(())
    }

    /// Gives up a write; nothing of it is kept.
    pub fn abort(&mut self, epoch: u64, key: &str, generation: Generation) {
        if epoch == self.epoch {
            let _ = self.remove_writing(key, generation);
        }
    }

    /// Content of a committed block.
    ///
    /// # Errors
    ///
    /// The block is missing, of another generation, or still being written.
    pub fn read(&self, key: &str, generation: Generation) -> Result<(Bytes, Tier), StoreError> {
        let slot = self.slots.get(key).ok_or(StoreError::NotFound)?;
        match &slot.committed {
            Some(block) if block.generation == generation => {
                Ok((block.content.clone(), block.tier))
            }
            _ if slot.writing.contains_key(&generation) => Err(StoreError::StillWriting),
            Some(_) => Err(StoreError::OtherGeneration),
            None if !slot.writing.is_empty() => Err(StoreError::OtherGeneration),
            None => Err(StoreError::NotFound),
        }
    }

    /// Whatever bytes there are of a key, in any state.
    #[must_use]
    pub fn read_unsafe(&self, key: &str) -> Option<Bytes> {
        let slot = self.slots.get(key)?;
        if let Some(block) = &slot.committed {
            return Some(block.content.clone());
        }
        let writing = slot.writing.values().next();
        writing
            .map(|writing| writing.content.clone().freeze())
            .or_else(|| slot.last_freed.clone())
    }

    /// Frees a block or gives up its write; false if there was nothing to free.
    pub fn free(&mut self, key: &str, generation: Generation) -> bool {
        if self.remove_writing(key, generation).is_ok() {
            return true;
        }
        let Some(slot) = self.slots.get_mut(key) else {
            return false;
        };
        let matches = |block: &mut Committed| block.generation == generation;
        let Some(block) = slot.committed.take_if(matches) else {
            return false;
        };
        let size_bytes = block.content.len() as u64;
        self.used_bytes -= size_bytes;
        if block.tier == Tier::Memory {
            self.used_memory_bytes -= size_bytes;
        }
        slot.last_freed = Some(block.content);
        true
    }

    /// Loses all content, as a restart does.
    pub fn lose_all(&mut self) {
        self.slots.clear();
        self.used_bytes = 0;
        self.used_memory_bytes = 0;
        self.epoch += 1;
    }

    /// Up to `limit` blocks after `after`, in key order.
    #[must_use]
    pub fn list(&self, after: &str, limit: usize) -> Vec<BlockInfo> {
        self.slots
            .iter()
            .filter(|(key, _)| key.as_str() > after)
            .flat_map(|(key, slot)| slot.list_entries(key))
            .take(limit)
            .collect()
    }

    fn remove_writing(&mut self, key: &str, generation: Generation) -> Result<Writing, StoreError> {
        let slot = self.slots.get_mut(key).ok_or(StoreError::NotFound)?;
        let writing = slot.writing.remove(&generation);
        let writing = writing.ok_or(StoreError::NotFound)?;
        self.used_bytes -= writing.size_bytes;
        Ok(writing)
    }
}

impl Slot {
    fn list_entries(&self, key: &str) -> Vec<BlockInfo> {
        let committed = self.committed.iter().map(|block| BlockInfo {
            key: key.to_owned(),
            generation: block.generation,
            size_bytes: block.content.len() as u64,
            client_account: block.client_account.clone(),
            state: BlockState::Committed,
            tier: block.tier,
        });
        let writing = self.writing.iter().map(|(generation, writing)| BlockInfo {
            key: key.to_owned(),
            generation: *generation,
            size_bytes: writing.size_bytes,
            client_account: writing.client_account.clone(),
            state: BlockState::Writing,
            tier: Tier::Memory,
        });
        committed.chain(writing).collect()
    }
}
