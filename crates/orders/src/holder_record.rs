//! What the key-value service keeps for a held target.

use {
    bytes::Bytes,
    catalog::{InstanceId, TargetId},
    keyvalue::{KvPair, LeaseId},
    serde::{Deserialize, Serialize},
};

/// Prefix of the keys of all held targets.
const HOLDER_PREFIX: &str = "/rattan/holder/";

/// Value of a held target's key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct HolderRecord {
    /// Instance that holds the target.
    pub(crate) instance: InstanceId,
    /// Lease that the key is bound to.
    pub(crate) lease: LeaseId,
}

impl HolderRecord {
    /// Reads a record, unless it can't be understood.
    pub(crate) fn parse(pair: &KvPair) -> Option<Self> {
        serde_json::from_slice(&pair.value).ok()
    }

    /// The value to write.
    pub(crate) fn encode(&self) -> Bytes {
        serde_json::to_vec(self).unwrap_or_default().into()
    }
}

/// Key of a held target.
pub(crate) fn holder_key(target: &TargetId) -> String {
    format!("{HOLDER_PREFIX}{target}")
}
