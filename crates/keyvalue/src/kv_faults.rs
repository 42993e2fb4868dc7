//! Faults of the in-memory key-value service, switched by tests.

use std::time::Duration;

/// Faults that one [`crate::MemoryKv`] handle meets. Counts fall by one with each call they hit.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct KvFaults {
    /// Every call and watch fails with [`crate::KvError::Unreachable`].
    pub unreachable: bool,
    /// Writes that take effect and whose answer is lost.
    pub lost_answer_count: u32,
    /// Writes that get lost before they take effect; the caller can't tell.
    pub lost_call_count: u32,
    /// Writes whose answer is lost and that take effect only `late_call_delay` afterwards.
    pub late_call_count: u32,
    /// Delay of the writes that `late_call_count` counts.
    pub late_call_delay: Duration,
    /// Reads whose answer is lost.
    pub lost_read_count: u32,
    /// Delay of each call before it takes effect.
    pub call_delay: Duration,
    /// Delay of each answer after its call took effect.
    pub answer_delay: Duration,
    /// Calls wait until this is switched off.
    pub paused: bool,
    /// Open watches deliver nothing until this is switched off.
    pub watches_silent: bool,
}

/// What happens to one call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CallOutcome {
    /// It is carried out and answered.
    Answered,
    /// It is not carried out; the caller knows.
    Unreachable,
    /// It is not carried out; the caller doesn't know.
    LostCall,
    /// It is carried out; the caller doesn't know.
    LostAnswer,
    /// It is carried out later; the caller doesn't know.
    Late(Duration),
}

impl KvFaults {
    /// Takes the outcome of the next write from the switches.
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

    /// Takes the outcome of the next read from the switches.
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

fn consume(count: &mut u32) -> bool {
    let is_set = *count > 0;
    *count = count.saturating_sub(1);
    is_set
}
