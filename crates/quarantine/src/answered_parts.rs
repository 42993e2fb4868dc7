//! Parts on which targets began answers.

use {
    parts::PartKey,
    std::{collections::HashSet, time::Duration},
};

/// Number of parts after which a new generation begins. Two generations take about 150 KiB.
const GENERATION_PARTS_COUNT: usize = 4_096;
/// Age at which a new generation begins, so that an answer counts for 10 to 20 minutes.
const MAX_GENERATION_AGE: Duration = Duration::from_mins(10);

/// Parts on which targets began answers lately. They do not crash targets.
///
/// Holds two generations of parts and drops the older one when a new one begins, so that parts
/// which are answered often stay.
#[derive(Clone, Debug, Default)]
pub struct AnsweredParts {
    newer: HashSet<PartKey>,
    older: HashSet<PartKey>,
    newer_since: Duration,
}

impl AnsweredParts {
    /// Records at `now` that a target began an answer on `part`.
    pub fn insert(&mut self, part: PartKey, now: Duration) {
        let age = now.saturating_sub(self.newer_since);
        let is_full = self.newer.len() >= GENERATION_PARTS_COUNT && !self.newer.contains(&part);
        if is_full || age > MAX_GENERATION_AGE {
            self.older = std::mem::take(&mut self.newer);
            self.newer_since = now;
        }
        self.newer.insert(part);
    }

    /// Whether a target began an answer on `part` lately.
    #[must_use]
    pub fn contains(&self, part: PartKey) -> bool {
        self.newer.contains(&part) || self.older.contains(&part)
    }
}
