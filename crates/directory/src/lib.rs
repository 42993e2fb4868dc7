//! Where each cached block is and which state it is in.

use {
    catalog::TargetId,
    prefix::BlockKey,
    std::collections::{BTreeMap, HashMap},
};

/// Distinguishes one write of a block from every other write of the same key.
pub type Generation = u64;

/// A committed copy of a block that may be read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Copy {
    /// Target that holds the copy.
    pub target: TargetId,
    /// Generation a reader must present; 0 for copies in engine memory.
    pub generation: Generation,
    /// Size in bytes.
    pub size_bytes: u64,
}

/// Copies known to one entry instance.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    copies: HashMap<BlockKey, BTreeMap<TargetId, Copy>>,
}

impl Directory {
    /// Records a committed copy.
    pub fn commit(&mut self, key: BlockKey, copy: Copy) {
        self.copies
            .entry(key)
            .or_default()
            .insert(copy.target.clone(), copy);
    }

    /// Forgets the copy of `key` that `target` holds.
    pub fn remove(&mut self, key: &BlockKey, target: &TargetId) {
        if let Some(copies) = self.copies.get_mut(key) {
            copies.remove(target);
            if copies.is_empty() {
                self.copies.remove(key);
            }
        }
    }

    /// Committed copies of `key`.
    pub fn copies<'a>(&'a self, key: &BlockKey) -> impl Iterator<Item = &'a Copy> + use<'a> {
        self.copies.get(key).into_iter().flat_map(BTreeMap::values)
    }
}
