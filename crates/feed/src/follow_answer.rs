//! The answer to an instance that follows the key-value service through another one.

use {
    crate::FollowedEvent,
    catalog::Revision,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Changes in the key-value service, as an instance that watches it passes them on.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct FollowedChanges {
    /// Changes after the requested revision, in order. Registrations that were written again
    /// unchanged are left out.
    pub events: Vec<FollowedEvent>,
    /// All changes up to this revision are known to the answering instance.
    pub complete_until: Revision,
    /// Time since the service confirmed that to the answering instance, as of the answer.
    pub age: Duration,
    /// Time for which the request waited at the answering instance.
    pub held: Duration,
}

/// The answer to an instance that follows the key-value service through another one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum FollowAnswer {
    /// The changes since the requested revision.
    Changes(FollowedChanges),
    /// The instance does not watch the service itself, or has only begun to.
    NotWatching,
    /// The instance works in another incarnation of the service.
    OtherIncarnation,
    /// The instance does not have all changes since the requested revision.
    TooOld,
}
