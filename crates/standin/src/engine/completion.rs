//! The request body of a completion.

use serde::{Deserialize, Serialize};

/// The body of `POST /v1/completions`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct Completion {
    /// Model name, echoed in the answer.
    pub model: String,
    /// Prompt text; every four bytes count as one token.
    pub prompt: String,
    /// Number of answer tokens; 16 if missing.
    pub max_tokens: Option<u64>,
    /// Whether to answer as server-sent events.
    pub stream: bool,
    /// Request id, echoed as `id` in the answer.
    pub request_id: String,
    /// Priority; higher values run first.
    pub priority: i64,
    /// Cache salt: cached blocks are used only by requests with the same salt.
    pub cache_salt: String,
    /// Block keys of the leading whole pieces of the prompt, in hex.
    pub block_keys: Vec<String>,
    /// Digest of the version that the caller expects; any version if missing.
    pub version: Option<String>,
}

/// Number of answer tokens of a completion without `max_tokens`.
pub(super) const DEFAULT_MAX_TOKENS: u64 = 16;

/// Bytes of text per token.
const TOKEN_BYTES: u64 = 4;

/// Number of tokens in a text, rounded up.
pub(super) fn token_count(text: &str) -> u64 {
    (text.len() as u64).div_ceil(TOKEN_BYTES)
}
