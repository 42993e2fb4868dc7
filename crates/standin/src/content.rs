//! Deterministic answers and block contents.
//!
//! Both are pure functions of their arguments, so a test can compute what it must receive.

use bytes::Bytes;

/// Size of each of the two hashes at the start of a block: of the version, then of the key.
const STAMP_BYTES: usize = 32;

/// Digest of a prompt, from which the tokens of its answer are derived.
#[must_use]
pub fn prompt_digest(prompt: &str) -> [u8; 32] {
    *blake3::hash(prompt.as_bytes()).as_bytes()
}

/// Token `index` (from 0) of the answer to a request: four bytes of text.
///
/// ```
/// use standin::{answer_token, prompt_digest};
///
/// let digest = prompt_digest("edge profile?");
/// assert_eq!(answer_token("r1", &digest, 0).len(), 4);
/// assert_ne!(answer_token("r1", &digest, 0), answer_token("r2", &digest, 0));
/// ```
#[must_use]
pub fn answer_token(request_id: &str, prompt_digest: &[u8; 32], index: u64) -> String {
    let mut hasher = blake3::Hasher::new_keyed(prompt_digest);
    hasher.update(request_id.as_bytes());
    hasher.update(&index.to_le_bytes());
    let mut text = hex::encode(&hasher.finalize().as_bytes()[..2]);
    text.truncate(3);
    text.push(' ');
    text
}

/// The first `token_count` tokens of the answer to a request.
#[must_use]
pub fn answer_text(request_id: &str, prompt: &str, token_count: u64) -> String {
    let digest = prompt_digest(prompt);
    (0..token_count)
        .map(|index| answer_token(request_id, &digest, index))
        .collect()
}

/// Content of a KV cache block that an engine computes with the weights of `version`.
#[must_use]
pub fn block_content(key: &str, version: &str, size_bytes: usize) -> Bytes {
    let mut content = Vec::with_capacity(size_bytes.max(2 * STAMP_BYTES));
    content.extend_from_slice(blake3::hash(version.as_bytes()).as_bytes());
    content.extend_from_slice(blake3::hash(key.as_bytes()).as_bytes());
    let mut filler = blake3::Hasher::new();
    filler.update(&content);
    let start = content.len();
    content.resize(size_bytes.max(start), 0);
    filler.finalize_xof().fill(&mut content[start..]);
    content.truncate(size_bytes);
    content.into()
}

/// What is wrong with the content of a block.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ContentFault {
    /// The block was computed with the weights of another version.
    WrongVersion,
    /// The block belongs to another key.
    WrongKey,
    /// The block has the wrong size or altered bytes.
    Torn,
}

/// Checks the content of a block against its key, version and size.
///
/// # Errors
///
/// The first mismatch found, as a [`ContentFault`].
pub fn check_content(
    key: &str,
    version: &str,
    size_bytes: usize,
    content: &[u8],
) -> Result<(), ContentFault> {
    let expected = block_content(key, version, size_bytes);
    if content == expected {
        return Ok(());
    }
    if content.len() != size_bytes || size_bytes < 2 * STAMP_BYTES {
        return Err(ContentFault::Torn);
    }
    if content[STAMP_BYTES..2 * STAMP_BYTES] != expected[STAMP_BYTES..2 * STAMP_BYTES] {
        return Err(ContentFault::WrongKey);
    }
    if content[..STAMP_BYTES] != expected[..STAMP_BYTES] {
        return Err(ContentFault::WrongVersion);
    }
    Err(ContentFault::Torn)
}
