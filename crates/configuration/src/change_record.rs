//! What the key of a change says became of it.

use {
    crate::{Change, RawChange},
    bytes::Bytes,
    serde::{Deserialize, Serialize},
};

/// State of a change that is settled.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum ChangeState {
    /// Committed in the same transaction as the record.
    Accepted,
    /// The record was written first, so the change can no longer be committed.
    Abandoned,
}

/// The value of a change's key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct ChangeRecord {
    /// What became of the change.
    pub state: ChangeState,
    /// Digest of what was asked for; empty if abandoned.
    pub digest: String,
}

impl ChangeRecord {
    /// Record that goes into the transaction of a change.
    pub(crate) fn accepted(digest: String) -> Self {
        Self {
            state: ChangeState::Accepted,
            digest,
        }
    }

    /// Record that keeps a change from being committed.
    pub(crate) fn abandoned() -> Self {
        Self {
            state: ChangeState::Abandoned,
            digest: String::new(),
        }
    }

    pub(crate) fn to_json(&self) -> Bytes {
        Bytes::from(serde_json::to_vec(self).expect("records have a JSON form"))
    }

    pub(crate) fn from_json(json: &[u8]) -> Option<Self> {
        serde_json::from_slice(json).ok()
    }
}

/// BLAKE3 digest, in hex, of what the changes ask for.
pub(crate) fn changes_digest(changes: &[Change]) -> String {
    let raw: Vec<RawChange> = changes.iter().map(RawChange::from).collect();
    let json = serde_json::to_vec(&raw).expect("changes have a JSON form");
    hex::encode(blake3::hash(&json).as_bytes())
}
