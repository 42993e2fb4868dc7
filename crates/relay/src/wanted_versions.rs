//! Versions of weights that the operators want in use, and their deadlines.

use std::{collections::BTreeSet, time::Duration};

/// Time after newer weights are requested during which parts of the replaced weights are still
/// fetched.
const REPLACED_PARTS_AGE: Duration = Duration::from_secs(6);

/// A version of a model's weights that the operators want in use, and since when.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WantedVersion {
    /// Version number.
    pub version: u64,
    /// Earliest time at which the operators can have requested it, by [`crate::boot_time`]; `None` if
    /// unknown.
    pub wanted_since: Option<Duration>,
    /// When this instance learned of it, by [`crate::boot_time`].
    pub learned_at: Duration,
}

impl WantedVersion {
    /// Upper bound on the time since the operators requested it; `None` if unknown.
    fn max_age(&self, now: Duration) -> Option<Duration> {
        Some(now.saturating_sub(self.wanted_since?))
    }
}

/// Versions of one model's weights that the operators have requested.
///
/// Each version has its own deadline for being in use everywhere, so versions before the newest one
/// still matter.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct WantedVersions {
    /// Sorted by version, the oldest first.
    versions: Vec<WantedVersion>,
    /// Versions that the key-value service marks as recently requested.
    recent: BTreeSet<u64>,
}

impl WantedVersions {
    /// Adds a version that was requested at `wanted_since` at the earliest. Returns whether it is
    /// newer than all known versions; otherwise it is ignored.
    pub fn add(
        &mut self,
        version: u64,
        wanted_since: Option<Duration>,
        learned_at: Duration,
    ) -> bool {
        let is_newer = self
            .versions
            .last()
            .is_none_or(|last| last.version < version);
        if is_newer {
            self.versions.push(WantedVersion {
                version,
                wanted_since,
                learned_at,
            });
        }
        is_newer
    }

    /// Marks `version` as recently requested, replacing version `replaces` (0 if there was none),
    /// and adds both if they are not known. The mark bounds the age of a version that was requested
    /// before this instance started.
    pub fn mark_recent(&mut self, version: u64, replaces: u64, now: Duration) {
        self.recent.insert(version);
        self.insert_of_unknown_age(replaces, now);
        self.insert_of_unknown_age(version, now);
    }

    /// Inserts a version of unknown age, unless the version is known already.
    fn insert_of_unknown_age(&mut self, version: u64, now: Duration) {
        let search = self
            .versions
            .binary_search_by_key(&version, |it| it.version);
        let Err(position) = search else {
            return;
        };
        if version > 0 {
            let found = WantedVersion {
                version,
                wanted_since: None,
                learned_at: now,
            };
            self.versions.insert(position, found);
        }
    }

    /// Removes the mark that `version` was recently requested.
    pub fn unmark_recent(&mut self, version: u64) {
        self.recent.remove(&version);
    }

    /// Whether `version` is marked as recently requested.
    #[must_use]
    pub fn is_recent(&self, version: u64) -> bool {
        self.recent.contains(&version)
    }

    /// The newest wanted version; 0 if there is none.
    #[must_use]
    pub fn newest_version(&self) -> u64 {
        self.versions.last().map_or(0, |newest| newest.version)
    }

    /// The version before the newest one; 0 if there is none.
    #[must_use]
    pub fn previous_version(&self) -> u64 {
        let previous = self.versions.iter().rev().nth(1);
        previous.map_or(0, |previous| previous.version)
    }

    /// The oldest wanted version that is newer than `version`.
    #[must_use]
    pub fn version_after(&self, version: u64) -> Option<u64> {
        let versions = self.versions.iter().map(|wanted| wanted.version);
        versions.filter(|wanted| *wanted > version).min()
    }

    /// Upper bound on the time since the operators requested the newest version; `None` if unknown.
    #[must_use]
    pub fn max_age(&self, now: Duration) -> Option<Duration> {
        self.versions.last()?.max_age(now)
    }

    /// Whether calls still fetch cached parts that `version` has computed. Parts of replaced weights
    /// are fetched only while targets are being given the newer ones.
    #[must_use]
    pub fn uses_parts_of(&self, version: u64, now: Duration) -> bool {
        version >= self.min_required_version(now, REPLACED_PARTS_AGE)
    }

    /// The oldest version that may still be used at `now`, if each version must be in use
    /// everywhere within `bound` of its request; 0 if any version may.
    #[must_use]
    pub fn min_required_version(&self, now: Duration, bound: Duration) -> u64 {
        let due = self
            .versions
            .iter()
            .filter(|wanted| self.is_due(wanted, now, bound));
        due.map(|wanted| wanted.version).max().unwrap_or(0)
    }

    /// Whether `wanted` must be in use everywhere by now. A version of unknown age is not yet due
    /// as long as it is marked as recent and this instance has known it for less than `bound`.
    fn is_due(&self, wanted: &WantedVersion, now: Duration, bound: Duration) -> bool {
        if let Some(age) = wanted.max_age(now) {
            return age >= bound;
        }
        let known_for = now.saturating_sub(wanted.learned_at);
        !self.is_recent(wanted.version) || known_for >= bound
    }
}
