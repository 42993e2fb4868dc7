//! A part of a grant that grows late and shrinks at once.

use std::time::Duration;

/// Time after which an instance uses a larger part, so that others have given it up before.
const RAISE_DELAY: Duration = Duration::from_secs(2);

/// The part that this instance uses of what is granted to all instances together: the smallest that it
/// has been due within a delay, so that others have given up what it uses more.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct SmallestPart<Part> {
    part: Part,
    larger: Option<LargerPart<Part>>,
}

/// A larger part that is not used yet.
#[derive(Clone, Copy, Debug, PartialEq)]
struct LargerPart<Part> {
    part: Part,
    /// Since when this instance has been due so much at least.
    since: Duration,
}

impl<Part> SmallestPart<Part>
where
    Part: Copy + PartialOrd,
{
    /// Uses `part` from now on.
    pub(crate) fn new(part: Part) -> Self {
        Self { part, larger: None }
    }

    /// Adapts to the part that this instance is due by the instances that are ready at `now`. Returns
    /// the part that it uses.
    pub(crate) fn update(&mut self, due: Part, now: Duration) -> Part {
        if due <= self.part {
            *self = Self::new(due);
            return due;
        }
        let due_now = LargerPart {
            part: due,
            since: now,
        };
        let larger = self.larger.get_or_insert(due_now);
        if due < larger.part {
            larger.part = due;
        }
        if now.saturating_sub(larger.since) >= RAISE_DELAY {
            self.part = larger.part;
            self.larger = (due > self.part).then_some(due_now);
        }
        self.part
    }
}
