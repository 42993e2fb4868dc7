//! What another instance's feed says of places.

use {
    crate::Scope,
    parts::Change,
    std::{net::SocketAddr, time::Duration},
};

/// What another instance's feed says of places.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlaceReport {
    /// Instances that it was learned from.
    pub scope: Scope,
    /// Changes in order.
    pub changes: Vec<Change>,
    /// Time up to which the changes of each place are complete.
    pub reported_times: Vec<(SocketAddr, Duration)>,
    /// The same for places whose state was read from another source before, which may have been newer.
    pub replaced_times: Vec<(SocketAddr, Duration)>,
    /// Whether places that this instance follows itself are left as they are.
    pub keeps_followed: bool,
}
