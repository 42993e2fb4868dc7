//! Estimated sizes of batches as they are sent.
//!
//! Integers are encoded with one to nine bytes by their value, so the sizes of single fields are
//! typical ones. An estimate costs less than encoding each batch a second time.

use {
    crate::{Batch, MergedBatch},
    parts::Change,
};

/// Position, clock, counts and the frame of an answer.
const FRAME_BYTES: usize = 40;
/// A target's seed and the counts of its load.
const LOAD_BYTES: usize = 16;
/// An IPv4 address with its port.
const ADDRESS_BYTES: usize = 9;
/// A duration in seconds and nanoseconds.
const DURATION_BYTES: usize = 7;
/// The kind of a change, and the number of its parts or whether the place answers.
const CHANGE_BYTES: usize = 2;
/// Key of a part and the number of its tokens.
const PART_BYTES: usize = 12;

fn changes_bytes(changes: &[Change]) -> usize {
    let bytes = changes.iter().map(|change| match change {
        Change::Held { parts, .. } => CHANGE_BYTES + ADDRESS_BYTES + PART_BYTES * parts.len(),
        Change::Cleared { .. } | Change::Available { .. } => CHANGE_BYTES + ADDRESS_BYTES,
    });
    bytes.sum()
}

impl Batch {
    /// Estimated size of the batch as it is sent.
    #[must_use]
    pub fn encoded_bytes(&self) -> usize {
        FRAME_BYTES
            + LOAD_BYTES * self.loads.len()
            + (ADDRESS_BYTES + DURATION_BYTES) * self.link_use.len()
            + changes_bytes(&self.changes)
            + ADDRESS_BYTES * self.followed_places.len()
    }
}

impl MergedBatch {
    /// Estimated size of the batch as it is sent.
    #[must_use]
    pub fn encoded_bytes(&self) -> usize {
        let silent = self.silent_instances.iter();
        let silent = silent.map(|(name, _)| 1 + name.len() + DURATION_BYTES);
        FRAME_BYTES
            + LOAD_BYTES * self.loads.len()
            + (ADDRESS_BYTES + DURATION_BYTES) * self.link_use.len()
            + changes_bytes(&self.changes)
            + (ADDRESS_BYTES + DURATION_BYTES) * self.report_ages.len()
            + silent.sum::<usize>()
    }
}
