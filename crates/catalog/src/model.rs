//! Model versions.

use {
    crate::{Labels, ModelId, ModelVersionId, VersionDigest},
    serde::{Deserialize, Serialize},
};

/// One version of a model's weights.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ModelVersion {
    /// Name, unique among model versions.
    pub name: ModelVersionId,
    /// Name that callers use; several versions may share it.
    pub model: ModelId,
    /// Labels that placement rules select by.
    #[serde(default)]
    pub labels: Labels,
    /// Digest of the weights; part of every block key.
    pub digest: VersionDigest,
    /// Whether new requests for `model` may use this version. Exactly one version of a model is
    /// active at a time.
    pub active: bool,
    /// Size of one cached block's prompt text in bytes.
    pub piece_bytes: u32,
    /// Prompt tokens in one piece.
    pub piece_tokens: u32,
    /// Size of one token's KV cache in bytes, as exported.
    pub kv_bytes_per_token: u32,
}
