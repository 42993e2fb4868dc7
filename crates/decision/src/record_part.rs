//! The part of a record that one instance replicates to another.

use {
    crate::Record,
    serde::{Deserialize, Serialize},
};

/// The steps of a record from index `first_step` on, with the record's other fields.
///
/// Merging a part is idempotent: steps that are already known are skipped.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RecordPart {
    /// Index of the first step in `record`. Earlier steps were sent in earlier parts.
    pub first_step: usize,
    /// The record, with only the steps from `first_step` on.
    pub record: Record,
}
