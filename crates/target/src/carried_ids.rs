//! Which requests a connection has carried.

use std::hash::{BuildHasher, RandomState};

/// Hash of a request's id, equal for equal ids of one [`IdHasher`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct IdHash(u64);

/// Hashes ids with a key of its own, so that nobody can choose ids with equal hashes.
#[derive(Default)]
pub(crate) struct IdHasher(RandomState);

impl IdHasher {
    /// Hash of `id`.
    pub(crate) fn hash(&self, id: &str) -> IdHash {
        IdHash(self.0.hash_one(id))
    }
}

/// Ids of the requests that a connection has carried. Two ids with one hash count as equal.
#[derive(Default)]
pub(crate) struct CarriedIds {
    hashes: Vec<IdHash>,
}

impl CarriedIds {
    /// Whether the connection has carried a request with this id.
    pub(crate) fn has(&self, id: IdHash) -> bool {
        self.hashes.contains(&id)
    }

    /// Adds the id of a request that is about to be sent.
    pub(crate) fn add(&mut self, id: IdHash) {
        self.hashes.push(id);
    }
}
