//! The error of a change that was not committed, or may not have been.

use {
    crate::ChangeId,
    catalog::{InvalidField, ObjectKind, Revision},
    snafu::Snafu,
};

/// A change was not applied, or it is not known whether it was.
#[derive(Clone, Debug, PartialEq, Snafu)]
#[snafu(visibility(pub))]
pub enum ApplyError {
    /// The object is not at the expected revision; nothing was applied.
    #[snafu(display(
        "{kind} {name} is at revision {current} (0: absent), not at the expected one; read it again and \
         repeat the change"
    ))]
    Conflict {
        /// Kind of the object.
        kind: ObjectKind,
        /// Name of the object.
        name: String,
        /// Its current revision; 0 if it does not exist.
        current: Revision,
    },
    /// The configuration would not be valid; nothing was applied.
    #[snafu(display("{source}"))]
    Invalid {
        /// The field, the problem and the remedy.
        source: InvalidField,
    },
    /// The change exceeds the limits of one transaction; nothing was applied.
    #[snafu(display(
        "the change writes {keys_count} keys and {value_bytes} bytes, but one transaction holds at most \
         {max_keys_count} and {max_value_bytes}; split the change (--in-parts) or use smaller files"
    ))]
    TooLarge {
        /// Number of keys that the change writes.
        keys_count: usize,
        /// Total size of their values in bytes.
        value_bytes: usize,
        /// Maximum number of keys in one transaction.
        max_keys_count: usize,
        /// Maximum total size of the values in one transaction, in bytes.
        max_value_bytes: usize,
    },
    /// This call applied nothing. An earlier call with the same change id whose answer was lost may
    /// have applied the change.
    #[snafu(display("not applied: {reason}; try again in a few seconds"))]
    NotApplied {
        /// Why nothing was applied.
        reason: String,
    },
    /// The change was not applied and never will be.
    #[snafu(display(
        "not applied: the answer was lost and change {change_id} was given up; repeat the change \
         with a new change id"
    ))]
    Abandoned {
        /// Id of the abandoned change.
        change_id: ChangeId,
    },
    /// The change may have been applied.
    #[snafu(display(
        "it is not known whether change {change_id} was applied: {reason}; repeat it with the same \
         change id, which applies it at most once"
    ))]
    Unknown {
        /// Id to repeat the change with.
        change_id: ChangeId,
        /// Why the outcome is unknown.
        reason: String,
    },
    /// Applying one part of a split change failed; the earlier parts are applied.
    #[snafu(display("part {part} of {parts_count} (earlier parts are applied): {source}"))]
    Part {
        /// Number of the failed part, starting at 1.
        part: usize,
        /// Number of parts.
        parts_count: usize,
        /// Why the part failed.
        #[snafu(source(from(ApplyError, Box::new)))]
        source: Box<ApplyError>,
    },
}
