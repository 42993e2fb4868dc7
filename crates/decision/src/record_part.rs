//! What one instance sends another about a record.

use {
    crate::Record,
    serde::{Deserialize, Serialize},
};

/// The steps of a record from `first_step` on, with the record's other fields.
///
/// Merging the same part twice has the effect of merging it once.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RecordPart {
    /// Number of steps that were sent before; not in `record`.
    pub first_step: usize,
    /// The record with only the later steps.
    pub record: Record,
}
