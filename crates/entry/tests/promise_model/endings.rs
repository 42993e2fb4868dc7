//! How calls end, and what their callers are told.

use {
    crate::{calls::Place, links::Node, statements::Broken, world::World},
    hyper::StatusCode,
    relay::{LostAnswer, Reason},
    std::time::Duration,
};

/// Time after the signal from which on no call that was taken may be cut.
const TAKING_TIME: Duration = Duration::from_secs(3);

/// Why a call got no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Unanswered {
    /// It has not run.
    NotRun(Reason),
    /// It may have run.
    Unknown(LostAnswer),
}

impl Unanswered {
    /// Whether the caller is told that the call has not run.
    pub fn promises_not_run(self) -> bool {
        matches!(self, Self::NotRun(reason) if reason.status() == StatusCode::SERVICE_UNAVAILABLE)
    }
}

impl From<Reason> for Unanswered {
    fn from(reason: Reason) -> Self {
        Self::NotRun(reason)
    }
}

impl World {
    /// Ends a call because its instance stops.
    pub fn cut(&mut self, index: usize) {
        let call = &self.calls[index];
        // In the product, the types of `relay::NotRun` leave no other way.
        let is_held = call.is_passed_on || matches!(call.place, Place::Target { .. });
        let unanswered = if is_held {
            Unanswered::Unknown(LostAnswer::Cut)
        } else {
            Unanswered::NotRun(Reason::ShuttingDown)
        };
        let stopped_at = self.instances[call.at].stopped_at.unwrap_or_default();
        let was_late = call.arrived_at >= stopped_at + TAKING_TIME;
        if was_late && self.is_under_way(index) {
            self.broken.push(Broken::CutLateCall);
        }
        self.counts.cuts += 1;
        self.end(index, Err(unanswered));
    }

    /// Whether a sound target works on a call, and its answer would get back.
    fn is_under_way(&self, index: usize) -> bool {
        let call = &self.calls[index];
        let here = Node::Instance(call.at);
        match call.place {
            Place::Nowhere => false,
            Place::Target { index, start, .. } => {
                let target = &self.targets[index];
                let connects = self.links.connects(here, Node::Target(index));
                connects && target.is_up() && target.start == start
            }
            Place::Instance { call: passed } => {
                let there = Node::Instance(self.calls[passed].at);
                self.links.connects(here, there) && self.is_under_way(passed)
            }
        }
    }

    pub fn end(&mut self, index: usize, outcome: Result<(), Unanswered>) {
        if !self.calls[index].is_open() {
            return;
        }
        self.calls[index].outcome = Some(outcome);
        let (at, booking) = (self.calls[index].at, self.calls[index].booking);
        let Some(parent) = self.calls[index].parent else {
            return self.answer_caller(index, booking, at, outcome);
        };
        let back = self.calls[parent].at;
        if !self.calls[parent].is_open()
            || !self.links.passes(Node::Instance(at), Node::Instance(back))
        {
            return;
        }
        match outcome {
            Ok(()) => self.end(parent, Ok(())),
            Err(Unanswered::NotRun(_)) => self.pass_on(parent),
            Err(Unanswered::Unknown(_)) => {
                self.end(parent, Err(Unanswered::Unknown(LostAnswer::TargetFailed)));
            }
        }
    }

    fn answer_caller(
        &mut self,
        call: usize,
        booking: usize,
        at: usize,
        outcome: Result<(), Unanswered>,
    ) {
        self.counts.answers += 1;
        let Err(unanswered) = outcome else {
            return;
        };
        if !unanswered.promises_not_run() {
            return;
        }
        self.counts.not_run += 1;
        if self.calls[call].has_run {
            self.broken.push(Broken::RefusedThoughRun);
        }
        self.try_again(booking, at);
    }
}
