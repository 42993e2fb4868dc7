//! Faults that tests inject into the in-memory key-value service.

use std::time::Duration;

/// Faults of one [`crate::MemoryKv`] handle and its clones. Each affected call decrements its
/// count; at zero the fault is off.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct KvFaults {
    /// Every call and watch fails with [`crate::KvError::Unreachable`].
    pub unreachable: bool,
    /// Number of next writes that take effect but whose answer is lost.
    pub lost_answer_count: u32,
    /// Number of next writes that are lost before they take effect. The caller can't tell them from
    /// writes whose answer is lost.
    pub lost_call_count: u32,
    /// Number of next writes whose answer is lost and that take effect `late_call_delay` later.
    pub late_call_count: u32,
    /// Time until the writes counted by `late_call_count` take effect.
    pub late_call_delay: Duration,
    /// Number of next reads whose answer is lost.
    pub lost_read_count: u32,
    /// Delay before each call takes effect.
    pub call_delay: Duration,
    /// Delay between a call's effect and its answer.
    pub answer_delay: Duration,
    /// While true, calls wait before they start.
    pub paused: bool,
    /// While true, open watches deliver nothing.
    pub watches_silent: bool,
}

/// Whether one call takes effect, and whether the caller learns of it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CallOutcome {
    /// Takes effect and is answered.
    Answered,
    /// Has no effect, and the caller knows.
    Unreachable,
    /// Has no effect, but the caller doesn't know.
    LostCall,
    /// Takes effect, but the caller doesn't know.
    LostAnswer,
    /// Takes effect after this delay, and the caller doesn't know.
    Late(Duration),
}

impl KvFaults {
    /// Chooses the outcome of the next write and decrements the count of the fault that applies.
    pub(crate) fn next_write_outcome(&mut self) -> CallOutcome {
        if self.unreachable {
            return CallOutcome::Unreachable;
        }
        if consume(&mut self.lost_call_count) {
            return CallOutcome::LostCall;
        }
        if consume(&mut self.lost_answer_count) {
            return CallOutcome::LostAnswer;
        }
        if consume(&mut self.late_call_count) {
            return CallOutcome::Late(self.late_call_delay);
        }
        CallOutcome::Answered
    }

    /// Chooses the outcome of the next read and decrements the count of the fault that applies.
    pub(crate) fn next_read_outcome(&mut self) -> CallOutcome {
        if self.unreachable {
            return CallOutcome::Unreachable;
        }
        if consume(&mut self.lost_read_count) {
            return CallOutcome::LostAnswer;
        }
        CallOutcome::Answered
    }
}

/// Decrements `count` and returns whether it was above zero.
fn consume(count: &mut u32) -> bool {
    let is_set = *count > 0;
    *count = count.saturating_sub(1);
    is_set
}
