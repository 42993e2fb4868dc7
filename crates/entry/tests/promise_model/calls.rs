//! Calls: from a caller to an instance, from there to a target or through another instance, and back. What
//! a stopping instance takes, and how it ends the rest, is decided by the product.

use {
    crate::{endings::Unanswered, links::Node, statements::Broken, targets, world::World},
    relay::{KnownDuration, LostAnswer, Reason},
    std::time::Duration,
};

/// Time for which callers may go on using the address of an instance that stops.
const CALLER_TIME: Duration = Duration::from_millis(3_500);
/// Part of the time limit that is kept for the way back from another instance.
const RETURN_TIME: Duration = Duration::from_millis(10);
/// Delay after which a caller sends a refused call again.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// Number of times that a caller sends one booking.
const MAX_SENT_COUNT: u32 = 4;

/// A booking as its caller sees it.
#[derive(Debug)]
pub struct Booking {
    /// Time that a target works on it.
    pub work: Duration,
    /// Time for which its caller waits.
    pub time_limit: Duration,
    /// Time by which the answer of the target is late.
    pub late: Duration,
    /// Number of times that targets ran it.
    pub runs_count: u32,
    /// When, and to which instance, the caller sends it next.
    pub next: Option<(Duration, usize)>,
    /// Number of times that the caller has sent it.
    pub sent_count: u32,
}

#[derive(Clone, Copy, Debug)]
pub enum Place {
    Nowhere,
    Target {
        index: usize,
        start: u64,
        done_at: Duration,
    },
    Instance {
        call: usize,
    },
}

/// A call at one instance.
#[derive(Debug)]
pub struct Call {
    pub booking: usize,
    /// Instance that handles it.
    pub at: usize,
    /// The call at the instance that has passed it on.
    pub parent: Option<usize>,
    pub arrived_at: Duration,
    time_limit: Duration,
    pub place: Place,
    pub is_passed_on: bool,
    asked: Vec<usize>,
    /// Whether a target ran it, for this instance or another one.
    pub has_run: bool,
    pub outcome: Option<Result<(), Unanswered>>,
}

impl Call {
    /// Whether it has no outcome yet.
    pub fn is_open(&self) -> bool {
        self.outcome.is_none()
    }
}

impl World {
    /// Sends, answers and ends calls for one tick.
    pub fn tick_calls(&mut self) {
        for booking in 0..self.bookings.len() {
            if let Some((at, instance)) = self.bookings[booking].next
                && self.now >= at
            {
                self.bookings[booking].next = None;
                self.send(booking, instance);
            }
        }
        for call in 0..self.calls.len() {
            if self.calls[call].is_open() {
                self.tick_call(call);
            }
        }
    }

    fn send(&mut self, booking: usize, instance: usize) {
        self.bookings[booking].sent_count += 1;
        let stopped_at = self.instances[instance].stopped_at;
        let is_gone = stopped_at.is_some_and(|at| self.now >= at + CALLER_TIME);
        if is_gone || !self.instances[instance].runs(self.now) {
            return self.try_again(booking, instance);
        }
        let time_limit = self.bookings[booking].time_limit;
        self.begin(booking, instance, None, time_limit);
    }

    pub fn try_again(&mut self, booking: usize, instance: usize) {
        let next = (instance + 1) % self.instances.len();
        let booking = &mut self.bookings[booking];
        if booking.sent_count < MAX_SENT_COUNT {
            booking.next = Some((self.now + RETRY_DELAY, next));
        }
    }

    fn begin(&mut self, booking: usize, at: usize, parent: Option<usize>, limit: Duration) {
        let index = self.calls.len();
        self.calls.push(Call {
            booking,
            at,
            parent,
            arrived_at: self.now,
            time_limit: limit,
            place: Place::Nowhere,
            is_passed_on: false,
            asked: vec![at],
            has_run: false,
            outcome: None,
        });
        if let Some(parent) = parent {
            self.calls[parent].place = Place::Instance { call: index };
        }
        match self.answer_here(index) {
            Ok(()) => {}
            Err(Reason::NoTarget) if parent.is_none() => {
                if let Err(reason) = self.check_shutdown(index) {
                    return self.end(index, Err(reason.into()));
                }
                self.calls[index].is_passed_on = true;
                self.pass_on(index);
            }
            Err(reason) => self.end(index, Err(reason.into())),
        }
    }

    fn check_shutdown(&self, call: usize) -> Result<(), Reason> {
        let call = &self.calls[call];
        let instance = &self.instances[call.at];
        let Some(shutdown) = instance.known.shutdown() else {
            return Ok(());
        };
        let known = KnownDuration {
            time_left: (call.arrived_at + call.time_limit).saturating_sub(self.now),
            typical: instance.answer_times.typical(),
            upper_bound: instance.answer_times.upper_bound(),
            may_have_run: false,
        };
        let needed = shutdown.time_to_take(&known, self.now);
        if shutdown.can_finish(needed, self.now) {
            return Ok(());
        }
        Err(shutdown.refusal(self.now, 0.5).reason)
    }

    fn answer_here(&mut self, call: usize) -> Result<(), Reason> {
        self.check_shutdown(call)?;
        let at = self.calls[call].at;
        let known = self.instances[at].known.targets();
        let mut ids: Vec<usize> = known.map(|it| targets::index(&it.id)).collect();
        if ids.is_empty() {
            return Err(Reason::NoTarget);
        }
        let first = self.calls[call].booking % ids.len();
        ids.rotate_left(first);
        for index in ids {
            let connects = self.links.connects(Node::Instance(at), Node::Target(index));
            if connects && self.targets[index].is_up() {
                self.run(call, index);
                return Ok(());
            }
        }
        Err(Reason::NoTarget)
    }

    fn run(&mut self, call: usize, target: usize) {
        self.arrive(self.calls[call].at, target);
        let booking = &mut self.bookings[self.calls[call].booking];
        booking.runs_count += 1;
        if booking.runs_count > 1 {
            self.broken.push(Broken::RanTwice);
        }
        let done_at = self.now + booking.work + booking.late;
        let start = self.targets[target].start;
        self.calls[call].place = Place::Target {
            index: target,
            start,
            done_at,
        };
        let mut caller = Some(call);
        while let Some(index) = caller {
            self.calls[index].has_run = true;
            if let Some(Err(reason)) = self.calls[index].outcome
                && reason.promises_not_run()
            {
                self.broken.push(Broken::RanOnceRefused);
            }
            caller = self.calls[index].parent;
        }
    }

    /// Has the next other instance answer a call.
    pub fn pass_on(&mut self, call: usize) {
        let at = self.calls[call].at;
        let ready = self.instances[at].known.ready_members();
        let peers: Vec<usize> = ready
            .iter()
            .map(|(name, _)| name.trim_start_matches('i').parse().unwrap())
            .collect();
        for peer in peers {
            if self.calls[call].asked.contains(&peer) {
                continue;
            }
            self.calls[call].asked.push(peer);
            let connects = self
                .links
                .connects(Node::Instance(at), Node::Instance(peer));
            if connects && self.instances[peer].runs(self.now) {
                let passed = self.now.saturating_sub(self.calls[call].arrived_at) + RETURN_TIME;
                let limit = self.calls[call].time_limit.saturating_sub(passed);
                let booking = self.calls[call].booking;
                return self.begin(booking, peer, Some(call), limit);
            }
        }
        self.end(call, Err(Reason::NoTarget.into()));
    }

    fn tick_call(&mut self, index: usize) {
        let call = &self.calls[index];
        let limit_at = call.arrived_at + call.time_limit;
        let at = call.at;
        let shutdown = self.instances[at].known.shutdown();
        if shutdown.is_some_and(|it| self.now >= it.answer_deadline) {
            return self.cut(index);
        }
        if let Place::Target {
            index: target,
            start,
            done_at,
        } = call.place
        {
            let (from, to) = (Node::Target(target), Node::Instance(at));
            let is_same = self.targets[target].is_up() && self.targets[target].start == start;
            if !is_same && self.links.connects(from, to) {
                return self.end(index, Err(Unanswered::Unknown(LostAnswer::TargetFailed)));
            }
            if is_same && self.now >= done_at && self.links.passes(from, to) {
                let took = self.now.saturating_sub(call.arrived_at);
                self.instances[at].answer_times.record(took, self.now);
                return self.end(index, Ok(()));
            }
        }
        if self.now >= limit_at {
            let may_run = !matches!(call.place, Place::Nowhere);
            let unanswered = if may_run {
                Unanswered::Unknown(LostAnswer::TimedOut)
            } else {
                Unanswered::NotRun(Reason::TooLate)
            };
            self.end(index, Err(unanswered));
        }
    }
}
