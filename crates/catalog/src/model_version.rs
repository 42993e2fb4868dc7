//! A version of a model and its raw JSON form.

use {
    crate::{InvalidField, Labels, ModelId, ModelVersionId, ObjectKind, VersionDigest, check},
    serde::{Deserialize, Serialize},
};

/// Upper bound of [`ModelVersion::piece_bytes`].
const MAX_PIECE_BYTES: u64 = 16 * 1024 * 1024;
/// Upper bound of [`ModelVersion::piece_tokens`].
const MAX_PIECE_TOKENS: u64 = 1_000_000;
/// Upper bound of [`ModelVersion::kv_bytes_per_token`].
const MAX_KV_BYTES_PER_TOKEN: u64 = 64 * 1024 * 1024;

/// One version of a model's weights.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(try_from = "RawModelVersion")]
pub struct ModelVersion {
    /// Name, unique among model versions.
    pub name: ModelVersionId,
    /// Name that callers use; several versions may share it.
    pub model: ModelId,
    /// Labels that placement rules select by.
    pub labels: Labels,
    /// Digest of the weights in hex; part of every block key.
    pub digest: VersionDigest,
    /// Whether new requests for `model` may use this version. At most one version of a model is
    /// active: activating one deactivates the others in the same change (see [`crate::Catalog`]).
    pub active: bool,
    /// Bytes of prompt text covered by one cached block.
    pub piece_bytes: u32,
    /// Prompt tokens covered by one cached block.
    pub piece_tokens: u32,
    /// Size of one token's exported KV cache in bytes.
    pub kv_bytes_per_token: u32,
}

/// A model version as an operator wrote it, not validated yet.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawModelVersion {
    /// `model_version`, or omitted.
    #[serde(default)]
    pub kind: Option<ObjectKind>,
    /// Becomes [`ModelVersion::name`].
    pub name: String,
    /// Becomes [`ModelVersion::model`].
    pub model: String,
    /// Becomes [`ModelVersion::labels`].
    #[serde(default)]
    pub labels: Labels,
    /// Becomes [`ModelVersion::digest`].
    pub digest: String,
    /// Becomes [`ModelVersion::active`]; `false` if omitted.
    #[serde(default)]
    pub active: bool,
    /// Becomes [`ModelVersion::piece_bytes`].
    pub piece_bytes: u32,
    /// Becomes [`ModelVersion::piece_tokens`].
    pub piece_tokens: u32,
    /// Becomes [`ModelVersion::kv_bytes_per_token`].
    pub kv_bytes_per_token: u32,
}

impl TryFrom<RawModelVersion> for ModelVersion {
    type Error = InvalidField;

    fn try_from(raw: RawModelVersion) -> Result<Self, InvalidField> {
        check::kind(raw.kind, ObjectKind::ModelVersion)?;
        check::name("name", &raw.name)?;
        check::model("model", &raw.model)?;
        check::labels("labels", &raw.labels)?;
        check::version_digest("digest", &raw.digest)?;
        check_size("piece_bytes", raw.piece_bytes, MAX_PIECE_BYTES)?;
        check_size("piece_tokens", raw.piece_tokens, MAX_PIECE_TOKENS)?;
        check_size(
            "kv_bytes_per_token",
            raw.kv_bytes_per_token,
            MAX_KV_BYTES_PER_TOKEN,
        )?;
        Ok(Self {
            name: raw.name,
            model: raw.model,
            labels: raw.labels,
            digest: raw.digest,
            active: raw.active,
            piece_bytes: raw.piece_bytes,
            piece_tokens: raw.piece_tokens,
            kv_bytes_per_token: raw.kv_bytes_per_token,
        })
    }
}

fn check_size(field: &str, value: u32, bound: u64) -> Result<(), InvalidField> {
    check::at_least_one(field, value.into())?;
    check::at_most(field, value.into(), bound)
}
