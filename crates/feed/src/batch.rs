//! What a reader gets.

use {
    balance::TargetLoad,
    parts::{Change, LinkUse, Position},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// What a reader gets at once.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Batch {
    /// From where to read next.
    pub position: Position,
    /// The clock that engines and stores share, when this was read; none if it is not known.
    pub clock: Option<Duration>,
    /// Calls that the instance has under way now, by the rendezvous seed of their target.
    pub loads: Vec<TargetLoad>,
    /// Time for which the instance has planned to use each store's link, since its start.
    pub link_use: Vec<LinkUse>,
    /// Changes, in order.
    pub changes: Vec<Change>,
}
