//! What a part is known by.

/// Part under one salt: the first bytes of a digest of both, equal on all instances.
pub type PartKey = u64;

/// Ends the salt, which no salt contains.
const SEPARATOR: &[u8] = &[0];

/// Key of the part `id` under `salt`.
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
