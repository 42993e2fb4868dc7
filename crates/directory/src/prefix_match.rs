//! Which targets can supply the start of a prompt.

use {
    crate::{BlockCopy, Directory, Place},
    catalog::TargetId,
    prefix::BlockKey,
};

/// What one target can supply of a prompt without a break from its first block on.
#[derive(Clone, Debug, PartialEq)]
pub struct PrefixMatch {
    /// The target.
    pub target: TargetId,
    /// Whether the copies are in a store or in engine memory.
    pub place: Place,
    /// Copies, first block first; their number is the number of leading blocks.
    pub copies: Vec<BlockCopy>,
    /// Probability that all copies are there.
    pub confidence: f64,
}

impl Directory {
    /// For each target that has the first block of `keys`: the leading blocks it can supply.
    /// Only committed copies and copies in engine memory are returned. To find out what can
    /// follow blocks that an engine already has, pass the rest of the keys.
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
