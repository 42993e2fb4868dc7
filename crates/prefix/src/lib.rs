//! Splits a prompt into pieces and derives the chained keys of their cached blocks.
//!
//! Engines compute a prompt piece by piece, and the block that they cache for a piece depends on
//! all the text before it. The key of a block is therefore a hash chain over the pieces up to and
//! including its own. The chain starts from the client account and the digest of the weights, so
//! that two accounts or two versions never share a key.
//!
//! ```
//! use prefix::block_keys;
//!
//! let (account, digest) = ("kitchens".to_owned(), "7a50c1e4".to_owned());
//! let first = block_keys(&account, &digest, b"template A, run 1", 4);
//! let second = block_keys(&account, &digest, b"template B, run 1", 4);
//! assert_eq!(first.len(), 4); // 17 bytes contain four complete pieces of 4 bytes
//! assert_eq!(first[..2], second[..2]); // both start with "template"
//! assert_ne!(first[2..], second[2..]);
//! ```

use catalog::{ClientAccountId, VersionDigest};

/// Key of one cached block: a digest over the client account, the version digest and all pieces up
/// to and including the block's own.
pub type BlockKey = [u8; 32];

/// Context string that separates block keys from other uses of the hash function.
const KEY_CONTEXT: &str = "rattanpost 2026-12 block key";

/// Returns the keys of the complete pieces of `prompt`, in order. A last piece shorter than
/// `piece_bytes` has no key, and a `piece_bytes` of 0 gives no keys.
#[must_use]
pub fn block_keys(
    account: &ClientAccountId,
    digest: &VersionDigest,
    prompt: &[u8],
    piece_bytes: u32,
) -> Vec<BlockKey> {
    let Ok(piece_bytes @ 1..) = usize::try_from(piece_bytes) else {
        return Vec::new();
    };
    let mut root_hasher = blake3::Hasher::new_derive_key(KEY_CONTEXT);
    for field in [account.as_bytes(), digest.as_bytes()] {
        root_hasher.update(&(field.len() as u64).to_le_bytes());
        root_hasher.update(field);
    }
    let mut previous_key = *root_hasher.finalize().as_bytes();
    prompt
        .chunks_exact(piece_bytes)
        .map(|piece| {
            previous_key = *blake3::Hasher::new_keyed(&previous_key)
                .update(piece)
                .finalize()
                .as_bytes();
            previous_key
        })
        .collect()
}
