//! Decides when parts that a store holds are withdrawn from the reports of it, and freed.
//!
//! Stores evict nothing by themselves, so parts that replaced weights have computed would fill them.
//! No part may be freed while a target fetches it. The instance that follows a store therefore first
//! withdraws the parts from what it reports, and frees them once nobody can act on a report from
//! before.

use {
    parts::OLD_REPORT_LIFETIME,
    relay::{WantedVersions, salt_version},
    std::time::Duration,
};

/// Time after parts were withdrawn at which no target fetches them any more.
pub const FREE_DELAY: Duration = OLD_REPORT_LIFETIME;

/// Whether the parts under `salt` are of no more use, given the `wanted` versions of their model.
#[must_use]
pub fn is_obsolete(salt: &str, wanted: &WantedVersions, now: Duration) -> bool {
    salt_version(salt).is_some_and(|version| !wanted.uses_parts_of(version, now))
}
