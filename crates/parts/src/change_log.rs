//! The latest changes, numbered.

use {
    crate::Change,
    serde::{Deserialize, Serialize},
    std::collections::VecDeque,
};

/// Changes that are kept for readers. Those further behind read the whole state instead.
pub const MAX_CHANGES_COUNT: usize = 4_096;

/// How far a reader of a log is.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Position {
    /// Number of the log's start, drawn at random.
    pub start: u64,
    /// Number of the next change.
    pub next: u64,
}

/// The latest changes, numbered from the log's start on.
#[derive(Clone, Debug)]
pub struct ChangeLog {
    start: u64,
    next: u64,
    changes: VecDeque<Change>,
}

impl ChangeLog {
    /// An empty log; `start` is a random number.
    #[must_use]
    pub fn new(start: u64) -> Self {
        Self {
            start,
            next: 0,
            changes: VecDeque::new(),
        }
    }

    /// Appends a change; drops the oldest one of too many.
    pub fn push(&mut self, change: Change) {
        if self.changes.len() >= MAX_CHANGES_COUNT {
            self.changes.pop_front();
        }
        self.changes.push_back(change);
        self.next += 1;
    }

    /// Position behind the last change.
    #[must_use]
    pub fn position(&self) -> Position {
        Position {
            start: self.start,
            next: self.next,
        }
    }

    /// The changes from `position` on; none if they are not kept any more or belong to another log.
    #[must_use]
    pub fn since(&self, position: Position) -> Option<Vec<Change>> {
        let missing_count = self.next.checked_sub(position.next)?;
        let missing_count = usize::try_from(missing_count).ok()?;
        let first_index = self.changes.len().checked_sub(missing_count)?;
        (position.start == self.start).then(|| self.changes.range(first_index..).cloned().collect())
    }
}
