//! Cuts a prompt into pieces and derives the chained block keys.

use catalog::{ClientAccountId, VersionDigest};

/// Key of one cached block: a digest over client account, version digest and all pieces so far.
pub type BlockKey = [u8; 32];

/// Domain separation for block keys.
const KEY_CONTEXT: &str = "rattanpost 2026-12 block key";

/// Keys of the whole pieces of `prompt`, first piece first. A last piece shorter than
/// `piece_bytes` has no key.
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
    let mut root = blake3::Hasher::new_derive_key(KEY_CONTEXT);
    for part in [account.as_bytes(), digest.as_bytes()] {
        root.update(&(part.len() as u64).to_le_bytes());
        root.update(part);
    }
    let mut parent = *root.finalize().as_bytes();
    prompt
        .chunks_exact(piece_bytes)
        .map(|piece| {
            parent = *blake3::Hasher::new_keyed(&parent)
                .update(piece)
                .finalize()
                .as_bytes();
            parent
        })
        .collect()
}
