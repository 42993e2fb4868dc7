//! The answer to one read of a merged feed.

use {
    balance::TargetLoad,
    catalog::InstanceId,
    parts::{Change, LinkUse, Position},
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, time::Duration},
};

/// An instance, and the time for which its feed could not be read.
pub type SilentInstance = (InstanceId, Duration);

/// The answer to one read of a merged feed. It covers all instances of the requested scope but the
/// reader.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MergedBatch {
    /// Position from which to read next.
    pub position: Position,
    /// Time of the clock that engines and stores share, when this was read; `None` if it is not
    /// known.
    pub clock: Option<Duration>,
    /// Calls that the instances have in flight together, by target.
    pub loads: Vec<TargetLoad>,
    /// Number of instances whose calls these are.
    pub instances_count: u32,
    /// Total time for which the instances have planned to use each store's link. It falls when an
    /// instance leaves.
    pub link_use: Vec<LinkUse>,
    /// Changes since the previous position, in order, and the whole state of added places.
    pub changes: Vec<Change>,
    /// Whether the changes since the requested position are not known any more or none was named, so
    /// that `changes` has only the state of the added places.
    pub is_reset: bool,
    /// Age of the last report of each store.
    pub report_ages: Vec<(SocketAddr, Duration)>,
    /// Instances that the aggregators can't read.
    pub silent_instances: Vec<SilentInstance>,
}
