//! Errors of writes to stores.

use {crate::Generation, catalog::TargetId, snafu::Snafu};

/// Why a write was not begun or not committed. The directory is unchanged.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum WriteError {
    /// The store has a copy or is receiving one.
    #[snafu(display(
        "store {target:?} already has generation {generation} of the block; use that copy, or \
         free it first"
    ))]
    Exists {
        /// The store.
        target: TargetId,
        /// Generation of the existing copy.
        generation: Generation,
    },
    /// A copy of this block with the same generation was already freed in this store.
    #[snafu(display(
        "generation {generation} of the block in store {target:?} was freed; write again with a \
         new generation"
    ))]
    Freed {
        /// The store.
        target: TargetId,
        /// The freed generation.
        generation: Generation,
    },
    /// The store has not confirmed the deletion of a freed copy.
    #[snafu(display(
        "store {target:?} has not yet deleted generation {generation} of the block; delete it, \
         then write"
    ))]
    Deleting {
        /// The store.
        target: TargetId,
        /// The freed generation.
        generation: Generation,
    },
    /// The directory has seen more targets than it has ids for.
    #[snafu(display(
        "store {target:?} cannot be tracked, since this instance has seen too many targets; restart \
         the instance"
    ))]
    TooManyTargets {
        /// The store.
        target: TargetId,
    },
    /// No write with this generation is in progress.
    #[snafu(display(
        "no write of generation {generation} of the block to store {target:?} is under way; begin \
         one first"
    ))]
    NotWriting {
        /// The store.
        target: TargetId,
        /// Generation that was to be committed.
        generation: Generation,
    },
}
