//! What becomes known of a store or an engine.

use {
    crate::PartKey,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// A part and how much of it a place holds.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CachedPart {
    /// The part.
    pub part: PartKey,
    /// Its tokens that are held; 0 if it was dropped.
    pub tokens: u32,
}

/// What becomes known of one place, a store or an engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Change {
    /// The place holds these parts from now on.
    Held {
        /// Address of the place.
        place: SocketAddr,
        /// The parts.
        parts: Vec<CachedPart>,
    },
    /// The place holds nothing, as after its restart.
    Cleared {
        /// Address of the place.
        place: SocketAddr,
    },
    /// The place answers, or does not any more.
    Available {
        /// Address of the place.
        place: SocketAddr,
        /// Whether it answers.
        available: bool,
    },
}

impl Change {
    /// The place that it is about.
    #[must_use]
    pub fn place(&self) -> SocketAddr {
        match self {
            Self::Held { place, .. } | Self::Cleared { place } | Self::Available { place, .. } => {
                *place
            }
        }
    }
}
