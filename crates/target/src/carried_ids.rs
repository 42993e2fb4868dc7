//! Which requests a connection has carried: each one once.

use std::hash::{BuildHasher, RandomState};

/// Number of requests with an id after which a connection is not used again, which bounds the memory
/// for them.
const MAX_CARRIED_COUNT: usize = 256;

/// Id of a request with its hash, which is equal for equal ids of one [`IdHasher`].
#[derive(Clone, Copy, Debug)]
pub(crate) struct HashedId<'id> {
    id: &'id str,
    hash: u64,
}

/// Hashes ids with a key of its own, so that nobody can choose ids with equal hashes.
#[derive(Debug, Default)]
pub(crate) struct IdHasher(RandomState);

impl IdHasher {
    /// `id` with its hash.
    pub(crate) fn hash<'id>(&self, id: &'id str) -> HashedId<'id> {
        let hash = self.0.hash_one(id);
        HashedId { id, hash }
    }
}

/// Shows that its connection carries the request with this id for the first time, so that whoever it leads
/// to can't answer an earlier sending of that request there. A proxy that shares its own connections
/// among those of this client could. Only [`CarriedIds::carry`] makes one.
#[derive(Debug)]
#[must_use]
pub(crate) struct CarriedOnce {
    id: String,
}

impl CarriedOnce {
    /// Id of the request.
    pub(crate) fn id(&self) -> &str {
        &self.id
    }
}

/// Ids of the requests that a connection has carried. Two ids with one hash count as equal, which costs
/// a connection.
#[derive(Debug, Default)]
pub(crate) struct CarriedIds {
    hashes: Vec<u64>,
}

impl CarriedIds {
    /// Whether the connection has carried a request with this id.
    pub(crate) fn has(&self, id: HashedId<'_>) -> bool {
        self.hashes.contains(&id.hash)
    }

    /// Adds the request with this id, which is about to be sent; `None` if the connection has carried it
    /// before.
    pub(crate) fn carry(&mut self, id: HashedId<'_>) -> Option<CarriedOnce> {
        if self.has(id) {
            return None;
        }
        self.hashes.push(id.hash);
        Some(CarriedOnce {
            id: id.id.to_owned(),
        })
    }

    /// Whether the connection may carry no more requests.
    pub(crate) fn is_full(&self) -> bool {
        self.hashes.len() >= MAX_CARRIED_COUNT
    }
}
