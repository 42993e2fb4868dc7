//! A bounded log of the latest changes.

use {
    crate::Change,
    serde::{Deserialize, Serialize},
    std::collections::VecDeque,
};

/// Maximum number of changes in a log. A reader that is further behind reads a snapshot instead.
pub const MAX_CHANGES_COUNT: usize = 4_096;

/// How far a reader has read a log.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Position {
    /// Random number that identifies the log.
    pub start: u64,
    /// Number of the next change to read.
    pub next: u64,
}

/// The latest changes. They are numbered from 0 on, in the order in which they were appended.
#[derive(Clone, Debug)]
pub struct ChangeLog<Entry = Change> {
    start: u64,
    next: u64,
    changes: VecDeque<Entry>,
}

impl<Entry> ChangeLog<Entry> {
    /// Creates an empty log. `start` is a random number that identifies it.
    #[must_use]
    pub fn new(start: u64) -> Self {
        Self {
            start,
            next: 0,
            changes: VecDeque::new(),
        }
    }

    /// Appends a change and drops the oldest one if the log is full.
    pub fn push(&mut self, change: Entry) {
        if self.changes.len() >= MAX_CHANGES_COUNT {
            self.changes.pop_front();
        }
        self.changes.push_back(change);
        self.next += 1;
    }

    /// Position after the last change.
    #[must_use]
    pub fn position(&self) -> Position {
        Position {
            start: self.start,
            next: self.next,
        }
    }

    /// Returns the changes from `position` on, or none if the log no longer has all of them or the
    /// position belongs to another log.
    #[must_use]
    pub fn since(&self, position: Position) -> Option<Vec<Entry>>
    where
        Entry: Clone,
    {
        Some(self.iter_since(position)?.cloned().collect())
    }

    /// Iterates over the changes that [`Self::since`] returns.
    #[must_use]
    pub fn iter_since(&self, position: Position) -> Option<impl Iterator<Item = &Entry>> {
        let missing_count = self.next.checked_sub(position.next)?;
        let missing_count = usize::try_from(missing_count).ok()?;
        let first_index = self.changes.len().checked_sub(missing_count)?;
        (position.start == self.start).then(|| self.changes.range(first_index..))
    }
}
