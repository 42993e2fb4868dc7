//! How calls end, and what their callers are told.

use {
    crate::{calls::Place, links::Node, statements::Broken, world::World},
    relay::{CutCall, Reason},
    std::time::Duration,
};

/// Time after the signal from which on no call that was taken may be cut.
const TAKING_TIME: Duration = Duration::from_secs(3);

impl World {
    /// Ends a call because its instance stops.
    pub fn cut(&mut self, index: usize) {
        let call = &self.calls[index];
        let cut = CutCall {
            is_in_flight: matches!(call.place, Place::Target { .. }),
            may_have_run: false,
            is_passed_on: call.is_passed_on,
        };
        let stopped_at = self.instances[call.at].stopped_at.unwrap_or_default();
        let was_late = call.arrived_at >= stopped_at + TAKING_TIME;
        if was_late && self.is_under_way(index) {
            self.broken.push(Broken::CutLateCall);
        }
        self.counts.cuts += 1;
        self.end(index, Err(cut.reason()));
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

    pub fn end(&mut self, index: usize, outcome: Result<(), Reason>) {
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
            Err(reason) if reason.is_not_run() => self.pass_on(parent),
            Err(_) => self.end(parent, Err(Reason::TargetFailed)),
        }
    }

    fn answer_caller(
        &mut self,
        call: usize,
        booking: usize,
        at: usize,
        outcome: Result<(), Reason>,
    ) {
        self.counts.answers += 1;
        let Err(reason) = outcome else {
            return;
        };
        if !reason.promises_not_run() {
            return;
        }
        self.counts.not_run += 1;
        if self.calls[call].has_run {
            self.broken.push(Broken::RefusedThoughRun);
        }
        self.try_again(booking, at);
    }
}
