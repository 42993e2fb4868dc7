//! What the writer answers to a change that it did not accept.

use {
    crate::ChangeId,
    catalog::{InvalidField, ObjectKind, Revision},
    snafu::Snafu,
};

/// A change was not accepted, or it is not known whether it was.
#[derive(Clone, Debug, PartialEq, Snafu)]
#[snafu(visibility(pub))]
pub enum ApplyError {
    /// Somebody else changed the object; nothing was applied.
    #[snafu(display(
        "{kind} {name} is at revision {current} (0: absent), not at the one stated; read it again and \
         repeat the change"
    ))]
    Conflict {
        /// Kind of the object.
        kind: ObjectKind,
        /// Name of the object.
        name: String,
        /// Its revision now; 0 if there is no such object.
        current: Revision,
    },
    /// The configuration would not be valid; nothing was applied.
    #[snafu(display("{source}"))]
    Invalid {
        /// The field, the problem and the remedy.
        source: InvalidField,
    },
    /// One transaction can't hold the change; nothing was applied.
    #[snafu(display(
        "the change writes {keys_count} keys and {value_bytes} bytes, one transaction holds \
         {max_keys_count} and {max_value_bytes}; allow parts (--in-parts) or use smaller files"
    ))]
    TooLarge {
        /// Keys that the change writes.
        keys_count: usize,
        /// Bytes of their values.
        value_bytes: usize,
        /// Most keys of one transaction.
        max_keys_count: usize,
        /// Most bytes of one transaction.
        max_value_bytes: usize,
    },
    /// This call applied nothing. An earlier call with the same change id, if its answer is
    /// missing, may have.
    #[snafu(display("not applied: {reason}; try again in a few seconds"))]
    NotApplied {
        /// What happened.
        reason: String,
    },
    /// The change was not applied and never will be.
    #[snafu(display(
        "not applied: the answer was lost and change {change_id} was given up; repeat the change \
         with a new change id"
    ))]
    Abandoned {
        /// The change that will never take effect.
        change_id: ChangeId,
    },
    /// The change may have been applied.
    #[snafu(display(
        "it is not known whether change {change_id} was applied: {reason}; repeat it with the same \
         change id, which applies it at most once"
    ))]
    Unknown {
        /// The change to repeat or ask about.
        change_id: ChangeId,
        /// What happened.
        reason: String,
    },
    /// Earlier parts were applied, this one was not.
    #[snafu(display("part {part} of {parts_count} (earlier parts are applied): {source}"))]
    Part {
        /// The part that failed, from 1.
        part: usize,
        /// All parts.
        parts_count: usize,
        /// Why.
        #[snafu(source(from(ApplyError, Box::new)))]
        source: Box<ApplyError>,
    },
}
