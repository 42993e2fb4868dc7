//! The record that the key-value service stores for a held target.

use {
    bytes::Bytes,
    catalog::{InstanceId, TargetId},
    fencing::FencingToken,
    keyvalue::{KvPair, LeaseId},
    serde::{Deserialize, Serialize},
};

/// Key prefix of all held targets.
const HOLDER_PREFIX: &str = "/rattan/holder/";

/// Value under a held target's key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct HolderRecord {
    /// Instance that holds the target.
    pub(crate) instance: InstanceId,
    /// Lease to which the key is bound.
    pub(crate) lease: LeaseId,
    /// Fencing token of the holder; 0 in records of builds that took the revision for it.
    #[serde(default)]
    pub(crate) fencing: FencingToken,
}

/// The part of a record that builds have in common.
#[derive(Deserialize)]
struct LeaseOnly {
    #[serde(rename = "lease")]
    _lease: LeaseId,
}

impl HolderRecord {
    /// Decodes a record, or returns `None` if its value is malformed.
    pub(crate) fn parse(pair: &KvPair) -> Option<Self> {
        serde_json::from_slice(&pair.value).ok()
    }

    /// Whether an instance can have written this: records of all builds name a lease. Another writer's record
    /// holds nothing, and would stay, since no lease ends it.
    pub(crate) fn is_of_instance(pair: &KvPair) -> bool {
        serde_json::from_slice::<LeaseOnly>(&pair.value).is_ok()
    }

    /// Encodes the record as the value to write.
    pub(crate) fn encode(&self) -> Bytes {
        serde_json::to_vec(self).unwrap_or_default().into()
    }
}

/// Key under which the holder of `target` is stored.
pub(crate) fn holder_key(target: &TargetId) -> String {
    format!("{HOLDER_PREFIX}{target}")
}
