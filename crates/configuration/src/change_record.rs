//! The stored record that tells whether a change was committed.

use {
    crate::{Change, RawChange},
    bytes::Bytes,
    serde::{Deserialize, Serialize},
};

/// Final state of a change.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum ChangeState {
    /// The change was committed, in the same transaction as this record.
    Accepted,
    /// The change can no longer be committed, since this record was written before it.
    Abandoned,
}

/// Value stored at the key of a change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct ChangeRecord {
    /// Final state of the change.
    pub state: ChangeState,
    /// Digest of the requested changes, see [`changes_digest`]; empty if abandoned.
    pub digest: String,
}

impl ChangeRecord {
    /// The record that is written in the transaction of a change.
    pub(crate) fn accepted(digest: String) -> Self {
        Self {
            state: ChangeState::Accepted,
            digest,
        }
    }

    /// The record that prevents a change from being committed later.
    pub(crate) fn abandoned() -> Self {
        Self {
            state: ChangeState::Abandoned,
            digest: String::new(),
        }
    }

    pub(crate) fn to_json(&self) -> Bytes {
        Bytes::from(serde_json::to_vec(self).expect("records can be serialized to JSON"))
    }

    pub(crate) fn from_json(json: &[u8]) -> Option<Self> {
        serde_json::from_slice(json).ok()
    }
}

/// BLAKE3 digest, in hex, of the requested changes. It shows whether a repeated request has the
/// same content.
pub(crate) fn changes_digest(changes: &[Change]) -> String {
    let raw: Vec<RawChange> = changes.iter().map(RawChange::from).collect();
    let json = serde_json::to_vec(&raw).expect("changes can be serialized to JSON");
    hex::encode(blake3::hash(&json).as_bytes())
}
