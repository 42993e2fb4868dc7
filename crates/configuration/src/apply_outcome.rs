//! What the writer answers to a change that it accepted.

use catalog::{Revision, Warning};

/// A change that is committed and will be in force everywhere.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ApplyOutcome {
    /// Revision at which the change was committed; an instance whose configuration has this
    /// revision or a higher one has the change in force.
    pub revision: Revision,
    /// Names of model versions that were deactivated because another one was activated.
    pub deactivated: Vec<String>,
    /// What is allowed but probably a mistake.
    pub warnings: Vec<Warning>,
}
