//! Looks up which targets have the leading blocks of a prompt.

use {
    crate::{BlockCopy, Directory, Place},
    catalog::TargetId,
    prefix::BlockKey,
};

/// The contiguous leading blocks of a prompt that one target has.
#[derive(Clone, Debug, PartialEq)]
pub struct PrefixMatch {
    /// The target.
    pub target: TargetId,
    /// Whether the copies are in a store or in engine memory.
    pub place: Place,
    /// Copies of the leading blocks, in prompt order.
    pub copies: Vec<BlockCopy>,
    /// Probability from 0 to 1 that all copies still exist.
    pub confidence: f64,
}

impl Directory {
    /// Returns, for each target that has the first block of `keys`, the leading blocks that it has.
    /// Only committed copies and copies in engine memory are returned. To find copies that extend
    /// the blocks an engine already has, pass the remaining keys.
    #[must_use]
    pub fn lookup(&self, keys: &[BlockKey]) -> Vec<PrefixMatch> {
        let Some((first, rest)) = keys.split_first() else {
            return Vec::new();
        };
        let mut found: Vec<PrefixMatch> = self.copies(first).map(PrefixMatch::from).collect();
        for (position, key) in rest.iter().enumerate() {
            let expected_count = position + 1;
            let mut extended = false;
            for copy in self.copies(key) {
                let prefix = found.iter_mut().find(|prefix| prefix.target == copy.target);
                if let Some(prefix) = prefix.filter(|it| it.copies.len() == expected_count) {
                    prefix.confidence = prefix.confidence.min(copy.confidence);
                    prefix.copies.push(copy);
                    extended = true;
                }
            }
            if !extended {
                break;
            }
        }
        found
    }
}

impl From<BlockCopy> for PrefixMatch {
    fn from(copy: BlockCopy) -> Self {
        Self {
            target: copy.target.clone(),
            place: copy.place,
            confidence: copy.confidence,
            copies: vec![copy],
        }
    }
}
