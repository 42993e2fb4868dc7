//! The body of a completion.

use serde::{Deserialize, Serialize};

/// The body of `POST /v1/completions`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct Completion {
    /// Model name, echoed.
    pub model: String,
    /// Prompt text; four bytes are one token.
    pub prompt: String,
    /// Answer tokens; 16 if missing.
    pub max_tokens: Option<u64>,
    /// Whether to answer as server-sent events.
    pub stream: bool,
    /// Request id, echoed as `id`.
    pub request_id: String,
    /// Priority; higher runs sooner.
    pub priority: i64,
    /// Cache salt.
    pub cache_salt: String,
    /// Keys of the leading whole pieces, in hex.
    pub block_keys: Vec<String>,
    /// Digest that the caller expects; any if missing.
    pub version: Option<String>,
}

/// Answer tokens of a completion that does not say how many.
pub(super) const DEFAULT_MAX_TOKENS: u64 = 16;

/// Bytes of text in one token.
const TOKEN_BYTES: u64 = 4;

/// Tokens of a text.
pub(super) fn token_count(text: &str) -> u64 {
    (text.len() as u64).div_ceil(TOKEN_BYTES)
}
