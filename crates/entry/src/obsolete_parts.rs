//! Which parts a store may free.
//!
//! Answers stores that drop nothing by themselves: parts of replaced weights would fill them.

use {
    relay::{Wanted, salt_version},
    std::time::Duration,
};

/// Nobody fetches parts of older weights any more once this instance has known of a newer version for
/// so long. Calls fetch them for 6 s after their instance heard of the version, which may be 4 s late,
/// and each fetch is given up within 2 s; as much again for safety.
pub const OBSOLETE_AGE: Duration = Duration::from_secs(24);

/// Whether nobody reads the parts under `salt` any more, if `wanted` is wanted of their model.
#[must_use]
pub fn is_obsolete(salt: &str, wanted: &Wanted, now: Duration) -> bool {
    let is_replaced = salt_version(salt).is_some_and(|version| version < wanted.version());
    is_replaced && wanted.known_for(now) >= OBSOLETE_AGE
}
