//! Weighted rendezvous hashing of root blocks over stores.

use prefix::BlockKey;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;
/// First multiplier of the 64-bit finalizer of `MurmurHash3`.
const MURMUR3_MIX: u64 = 0xff51_afd7_ed55_8ccd;
/// Bits of the significand of an `f64`.
const MANTISSA_BITS: u32 = 53;

/// Score of `target` for the root block `root`; the caller picks the target with the highest score.
/// Each target is picked in proportion to its weight, and changing one weight moves as few roots as
/// possible.
#[allow(clippy::cast_precision_loss)]
pub(crate) fn score(root: &BlockKey, target: &str, weight: f64) -> f64 {
    let mut hash = FNV_OFFSET;
    for byte in root.iter().chain(target.as_bytes()) {
        hash = (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
    }
    hash = (hash ^ (hash >> 33)).wrapping_mul(MURMUR3_MIX);
    hash ^= hash >> 33;
    let unit = ((hash >> (u64::BITS - MANTISSA_BITS)) as f64 + 0.5) / 2f64.powi(53);
    -weight / unit.ln()
}
