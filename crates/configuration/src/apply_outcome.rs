//! The result of a change that was committed.

use catalog::{Revision, Warning};

/// Result of a committed change, which every instance will put in force.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ApplyOutcome {
    /// Revision at which the change was committed. The change is in force at every instance whose
    /// configuration has this revision or a higher one.
    pub revision: Revision,
    /// Names of model versions that were deactivated because another one was activated.
    pub deactivated: Vec<String>,
    /// Probable mistakes in the resulting configuration.
    pub warnings: Vec<Warning>,
}
