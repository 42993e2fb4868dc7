//! Decides which parts a store may free.
//!
//! Stores evict nothing by themselves, so parts computed with replaced weights would fill them.

use {
    relay::{WantedVersions, salt_version},
    std::time::Duration,
};

/// Time after this instance learned of a newer version from which no instance fetches parts of
/// older weights.
///
/// Calls fetch them for up to 6 s after their own instance learned of the version, which may happen
/// 4 s late, and each fetch times out within 2 s. The sum is doubled as a safety margin.
pub const OBSOLETE_AGE: Duration = Duration::from_secs(24);

/// Whether no instance reads the parts under `salt` any more, given the `wanted` versions of their
/// model.
#[must_use]
pub fn is_obsolete(salt: &str, wanted: &WantedVersions, now: Duration) -> bool {
    let is_replaced = salt_version(salt).is_some_and(|version| version < wanted.newest_version());
    is_replaced && wanted.known_for(now) >= OBSOLETE_AGE
}
