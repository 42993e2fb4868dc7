//! Changes in what a store or an engine holds.

use {
    crate::PartKey,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// A part and the number of its tokens that a place holds.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CachedPart {
    /// Key of the part.
    pub part: PartKey,
    /// Number of tokens of the part that are held; 0 if the part was dropped.
    pub tokens: u32,
}

/// A change at one place. A place is a store or an engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Change {
    /// The place holds these numbers of tokens of these parts from now on.
    Held {
        /// Address of the place.
        place: SocketAddr,
        /// The parts that changed.
        parts: Vec<CachedPart>,
    },
    /// The place holds nothing any more, for example after its restart.
    Cleared {
        /// Address of the place.
        place: SocketAddr,
    },
    /// The place answers again, or no longer answers.
    Available {
        /// Address of the place.
        place: SocketAddr,
        /// Whether it answers.
        available: bool,
    },
}

impl Change {
    /// Address of the place that has changed.
    #[must_use]
    pub fn place(&self) -> SocketAddr {
        match self {
            Self::Held { place, .. } | Self::Cleared { place } | Self::Available { place, .. } => {
                *place
            }
        }
    }
}
