//! The places whose state is read in one feed, a few new ones with each request.

use std::{collections::HashSet, net::SocketAddr};

/// Number of places whose whole state one request asks for, so that the answer arrives in time also
/// over a slow link. The whole state of all places may have some hundred KB.
pub const MAX_ADDED_COUNT: usize = 4;

/// Places of one request.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PlaceGroup {
    /// Places that have been read before, of which changes suffice.
    pub known: HashSet<SocketAddr>,
    /// Places whose whole state is requested.
    pub added: Vec<SocketAddr>,
    /// Whether the reader wants further places, which have to wait for the next request.
    pub has_more: bool,
}

/// Places whose state has been read in one feed.
#[derive(Clone, Debug, Default)]
pub struct ReadPlaces {
    read: HashSet<SocketAddr>,
}

impl ReadPlaces {
    /// Returns the places of the next request of a reader that wants the state of `wanted`.
    #[must_use]
    pub fn next_group(&self, wanted: &HashSet<SocketAddr>) -> PlaceGroup {
        let mut added: Vec<_> = wanted.difference(&self.read).copied().collect();
        let has_more = added.len() > MAX_ADDED_COUNT;
        added.sort_unstable();
        added.truncate(MAX_ADDED_COUNT);
        PlaceGroup {
            known: wanted.intersection(&self.read).copied().collect(),
            added,
            has_more,
        }
    }

    /// Records the answer to a request. After a reset, in which the changes to known places are
    /// missing, only the state of the added ones is known.
    pub fn complete(&mut self, group: &PlaceGroup, is_reset: bool) {
        self.read = group.added.iter().copied().collect();
        if !is_reset {
            self.read.extend(&group.known);
        }
    }

    /// Whether the state of `place` has been read.
    #[must_use]
    pub fn contains(&self, place: SocketAddr) -> bool {
        self.read.contains(&place)
    }
}
