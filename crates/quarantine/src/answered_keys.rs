//! Parts and calls on which targets began answers.

use {
    crate::SuspectKey,
    std::{collections::HashSet, time::Duration},
};

/// Number of keys after which a new generation begins. Two generations take about 150 KiB.
const GENERATION_KEYS_COUNT: usize = 4_096;
/// Age at which a new generation begins, so that an answer counts for 10 to 20 minutes.
const MAX_GENERATION_AGE: Duration = Duration::from_mins(10);

/// Parts and calls on which targets began answers lately. They do not crash targets.
///
/// Calls are kept apart from parts, since there are far more of them and they would displace the
/// parts.
#[derive(Clone, Debug, Default)]
pub struct AnsweredKeys {
    parts: Generations,
    calls: Generations,
}

impl AnsweredKeys {
    /// Records at `now` that a target began an answer on a part or to a call.
    pub fn insert(&mut self, key: SuspectKey, now: Duration) {
        match key {
            SuspectKey::Part(part) => self.parts.insert(part, now),
            SuspectKey::Call(call) => self.calls.insert(call, now),
        }
    }

    /// Whether a target began an answer on the part or to the call lately.
    #[must_use]
    pub fn contains(&self, key: SuspectKey) -> bool {
        match key {
            SuspectKey::Part(part) => self.parts.contains(part),
            SuspectKey::Call(call) => self.calls.contains(call),
        }
    }
}

/// Two generations of keys; the older one is dropped when a new one begins, so that keys which are
/// inserted often stay.
#[derive(Clone, Debug, Default)]
struct Generations {
    newer: HashSet<u64>,
    older: HashSet<u64>,
    newer_since: Duration,
}

impl Generations {
    fn insert(&mut self, key: u64, now: Duration) {
        let age = now.saturating_sub(self.newer_since);
        let is_full = self.newer.len() >= GENERATION_KEYS_COUNT && !self.newer.contains(&key);
        if is_full || age > MAX_GENERATION_AGE {
            self.older = std::mem::take(&mut self.newer);
            self.newer_since = now;
        }
        self.newer.insert(key);
    }

    fn contains(&self, key: u64) -> bool {
        self.newer.contains(&key) || self.older.contains(&key)
    }
}
