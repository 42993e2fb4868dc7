//! Rendezvous hashing. The hash must be the same on all instances and in all versions.

/// Multipliers of the 64-bit finalizer of `SplitMix64`.
const MIX_FACTORS: [u64; 2] = [0xbf58_476d_1ce4_e5b9, 0x94d0_49bb_1331_11eb];
/// Domain separation for the names of members.
const MEMBER_CONTEXT: &str = "rattanpost 2026-12 rendezvous member";
/// Domain separation for keys.
const KEY_CONTEXT: &str = "rattanpost 2026-12 rendezvous key";

/// Returns the hash of a member's name, such as an instance or a target.
#[must_use]
pub fn member_seed(name: &str) -> u64 {
    seed(MEMBER_CONTEXT, name.as_bytes())
}

/// Returns the hash of a key.
#[must_use]
pub fn key_seed(key: &[u8]) -> u64 {
    seed(KEY_CONTEXT, key)
}

/// Returns the score of a member for a key. The member with the highest score owns the key.
#[must_use]
pub fn score(key_seed: u64, member_seed: u64) -> u64 {
    let mut mixed = key_seed ^ member_seed;
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(MIX_FACTORS[0]);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(MIX_FACTORS[1]);
    mixed ^ (mixed >> 31)
}

/// Returns the hash of `input`; `context` separates the hashes of members from those of keys.
fn seed(context: &str, input: &[u8]) -> u64 {
    let mut bytes = [0; 8];
    let mut hasher = blake3::Hasher::new_derive_key(context);
    hasher.update(input);
    hasher.finalize_xof().fill(&mut bytes);
    u64::from_le_bytes(bytes)
}
