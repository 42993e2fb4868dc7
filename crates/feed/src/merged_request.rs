//! A read of the merged feed of an aggregator.

use {
    crate::Scope,
    catalog::InstanceId,
    parts::Position,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// A read of the merged feed of an aggregator, which is answered at once: loads change without a
/// change at a place.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MergedRequest {
    /// Instance that reads; its own loads are left out.
    pub reader: InstanceId,
    /// Instances that the answer covers.
    pub scope: Scope,
    /// Position of the previous batch; `None` if there is none.
    pub since: Option<Position>,
    /// Places whose whole state is sent, since the reader has not read it here, or has
    /// skipped their changes. A few, so that the answer arrives in time.
    pub added_places: Vec<SocketAddr>,
}
