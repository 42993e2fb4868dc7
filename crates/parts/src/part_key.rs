//! The key of a part.

/// Key of a part: the first 8 bytes of a digest over salt and part id. All instances derive the
/// same key.
pub type PartKey = u64;

/// Separates the salt from the part id. No salt contains this byte.
const SEPARATOR: &[u8] = &[0];

/// Derives the key of the part `id` under `salt`.
#[must_use]
pub fn part_key(salt: &str, id: &str) -> PartKey {
    let mut bytes = [0; 8];
    let mut hasher = blake3::Hasher::new();
    hasher.update(salt.as_bytes());
    hasher.update(SEPARATOR);
    hasher.update(id.as_bytes());
    hasher.finalize_xof().fill(&mut bytes);
    PartKey::from_le_bytes(bytes)
}
