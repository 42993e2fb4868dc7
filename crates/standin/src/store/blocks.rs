//! The blocks of a store instance and their states: writing, committed, freed.

use {
    bytes::{Bytes, BytesMut},
    serde::{Deserialize, Serialize},
    snafu::Snafu,
    std::collections::BTreeMap,
};

/// Distinguishes one write of a key from every other write of it.
pub type Generation = u64;

/// State of a block in the list of blocks.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum BlockState {
    /// The block is being written and cannot be read.
    Writing,
    /// The block is complete and can be read.
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
    /// Generation of the write.
    pub generation: Generation,
    /// Size in bytes.
    pub size_bytes: u64,
    /// Client account that owns the block.
    pub client_account: String,
    /// Whether the block can be read.
    pub state: BlockState,
    /// Where the block is kept.
    pub tier: Tier,
}

/// Reason why the store refused a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum StoreError {
    /// The store does not have the block.
    #[snafu(display("block is not here; look it up again"))]
    NotFound,
    /// The store has the block in another generation.
    #[snafu(display("block has another generation; look it up again"))]
    OtherGeneration,
    /// The block is still being written.
    #[snafu(display("block is still being written; use another copy"))]
    StillWriting,
    /// Memory and disk have too little room for the block.
    #[snafu(display("store is full; free blocks first"))]
    Full,
    /// The body has another size than announced, or another checksum.
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
    /// Content of the block that was freed last, kept for unsafe reads only.
    last_freed: Option<Bytes>,
}

/// All blocks of a store instance.
#[derive(Clone, Debug)]
pub struct Blocks {
    memory_bytes: u64,
    disk_bytes: u64,
    used_memory_bytes: u64,
    used_bytes: u64,
    /// Increases when all content is lost, so that earlier writes cannot commit.
    epoch: u64,
    slots: BTreeMap<String, Slot>,
}

impl Blocks {
    /// Creates an empty store with the given capacities in bytes.
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

    /// Total capacity of memory and disk in bytes.
    #[must_use]
    pub fn capacity_bytes(&self) -> u64 {
        self.memory_bytes + self.disk_bytes
    }

    /// Bytes of all blocks, including those being written.
    #[must_use]
    pub fn used_bytes(&self) -> u64 {
        self.used_bytes
    }

    /// Begins to write a block and returns the epoch to pass to [`Blocks::append`],
    /// [`Blocks::commit`] and [`Blocks::abort`].
    ///
    /// # Errors
    ///
    /// The key already has a committed block, this generation is already being written, or there is
    /// too little room.
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

    /// Appends bytes to a block being written. Bytes of an aborted write are dropped.
    pub fn append(&mut self, epoch: u64, key: &str, generation: Generation, bytes: &[u8]) {
        if epoch != self.epoch {
            return;
        }
        let slot = self.slots.get_mut(key);
        if let Some(writing) = slot.and_then(|slot| slot.writing.get_mut(&generation)) {
            writing.content.extend_from_slice(bytes);
        }
    }

    /// Makes a block readable if its size and checksum match; otherwise discards it.
    ///
    /// # Errors
    ///
    /// Size or checksum do not match, another write of the key was committed first, or the block
    /// was freed or lost while it was being written.
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

    /// Aborts a write and discards its bytes.
    pub fn abort(&mut self, epoch: u64, key: &str, generation: Generation) {
        if epoch == self.epoch {
            let _ = self.remove_writing(key, generation);
        }
    }

    /// Content and tier of a committed block.
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

    /// Any bytes of a key: committed, else being written, else last freed.
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

    /// Frees a block or aborts its write, and returns whether there was anything to free.
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

    /// Discards all content, as a restart does.
    pub fn lose_all(&mut self) {
        self.slots.clear();
        self.used_bytes = 0;
        self.used_memory_bytes = 0;
        self.epoch += 1;
    }

    /// Up to `limit` blocks with keys greater than `after`, in key order.
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
