//! Errors of writes.

use {crate::Generation, catalog::TargetId, snafu::Snafu};

/// Why a write was not begun or not committed. Nothing was changed.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum WriteError {
    /// A copy is there or on its way.
    #[snafu(display(
        "store {target:?} already has generation {generation} of the block; use that copy, or \
         free it first"
    ))]
    Exists {
        /// The store.
        target: TargetId,
        /// Generation that is written or committed.
        generation: Generation,
    },
    /// The generation was used before for this block and store.
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
    /// The store still has a freed copy.
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
    /// No write with this generation is known.
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
