//! A read of one instance's own feed.

use {
    parts::Position,
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, time::Duration},
};

/// A read of one instance's own feed.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PlacesRequest {
    /// Position of the previous batch; `None` if there is none.
    pub since: Option<Position>,
    /// Places of which the reader wants the changes.
    pub places: Vec<SocketAddr>,
    /// Those of them that the reader has not read here before, whose whole state is sent.
    pub added_places: Vec<SocketAddr>,
    /// Longest time to wait for a change if there is none.
    pub wait: Duration,
}
