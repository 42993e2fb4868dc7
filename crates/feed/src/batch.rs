//! The answer to one read of a feed.

use {
    balance::TargetLoad,
    parts::{Change, LinkUse, Position},
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, time::Duration},
};

/// The answer to one read of a feed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Batch {
    /// Position from which to read next.
    pub position: Position,
    /// Time of the clock that engines and stores share, when this was read; `None` if it is not
    /// known.
    pub clock: Option<Duration>,
    /// Calls that the instance has in flight now, by target.
    pub loads: Vec<TargetLoad>,
    /// Total time for which the instance has planned to use each store's link, since its start.
    pub link_use: Vec<LinkUse>,
    /// Changes since the previous position, in order, and the whole state of added places.
    pub changes: Vec<Change>,
    /// Whether the changes since the requested position are not known any more or none was named, so
    /// that `changes` has only the state of the added places.
    pub is_reset: bool,
    /// Requested places that the instance follows, whose changes are therefore complete.
    pub followed_places: Vec<SocketAddr>,
}
