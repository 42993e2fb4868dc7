//! An engine: one prompt reader, a batch that decodes, and a queue.

use super::caller::{Call, Ms};

const READ_TOKENS_PER_MS: f64 = 40.0;
const PIECE_TOKENS: u32 = 512;
const STEP_MS: Ms = 5.5;
const STEP_MS_PER_CALL: Ms = 0.03;
const MEMORY_TOKENS: u32 = 46_938;

/// Order in which an engine starts calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Order {
    FirstCome,
    Priority,
    Deadline,
    LeastWork,
}

impl Order {
    /// Calls with the least rank start first.
    fn rank(self, call: &Call) -> (f64, Ms) {
        let first = match self {
            Self::FirstCome => 0.0,
            Self::Priority => f64::from(call.kind.priority()),
            Self::Deadline => call.born_ms + call.kind.objective_ms(),
            Self::LeastWork => f64::from(call.tokens_count()),
        };
        (first, call.sent_ms)
    }
}

/// A call that left an engine.
pub enum Left {
    Whole(Call),
    /// Its caller gave up.
    Abandoned(Call),
}

#[derive(Default)]
pub struct Engine {
    slots_count: u32,
    clock_ms: Ms,
    waiting: Vec<Call>,
    running: Vec<Call>,
    pub is_gone: bool,
}

impl Engine {
    pub fn new(slots_count: u32) -> Self {
        Self {
            slots_count,
            ..Self::default()
        }
    }

    pub fn push(&mut self, call: Call) {
        self.waiting.push(call);
    }

    pub fn calls_count(&self) -> u32 {
        u32::try_from(self.waiting.len() + self.running.len()).unwrap()
    }

    pub fn tokens_count(&self) -> u32 {
        let calls = self.waiting.iter().chain(&self.running);
        calls.map(Call::tokens_count).sum()
    }

    /// Works until `now_ms`. Calls `on_start` with each call that has its first event.
    pub fn advance(
        &mut self,
        now_ms: Ms,
        order: Order,
        on_start: &mut impl FnMut(&Call, Ms),
    ) -> Vec<Left> {
        let mut left = Vec::new();
        while self.clock_ms < now_ms {
            let clock_ms = self.clock_ms;
            for calls in [&mut self.waiting, &mut self.running] {
                let abandoned = calls.extract_if(.., |it| it.deadline_ms() <= clock_ms);
                left.extend(abandoned.map(Left::Abandoned));
            }
            self.fill_slots(order);
            if self.running.is_empty() {
                self.clock_ms = now_ms;
                return left;
            }
            self.step(on_start);
            let whole = self.running.extract_if(.., |it| it.events_left == 0);
            left.extend(whole.map(Left::Whole));
        }
        left
    }

    /// Removes all calls, for an engine that is gone.
    pub fn clear(&mut self) -> Vec<Call> {
        self.is_gone = true;
        self.waiting
            .drain(..)
            .chain(self.running.drain(..))
            .collect()
    }

    fn fill_slots(&mut self, order: Order) {
        self.waiting
            .sort_by(|a, b| order.rank(a).partial_cmp(&order.rank(b)).unwrap());
        let mut used: u32 = self.running.iter().map(Call::tokens_count).sum();
        while self.running.len() < self.slots_count as usize && !self.waiting.is_empty() {
            used += self.waiting[0].tokens_count();
            if used > MEMORY_TOKENS {
                return;
            }
            self.running.push(self.waiting.remove(0));
        }
    }

    /// One piece of the first unread prompt, and one event of each call whose prompt is read.
    fn step(&mut self, on_start: &mut impl FnMut(&Call, Ms)) {
        let mut step_ms = 0.0;
        let running_count = f64::from(u32::try_from(self.running.len()).unwrap());
        if self.running.iter().any(|it| it.unread_tokens == 0) {
            step_ms += STEP_MS + STEP_MS_PER_CALL * running_count;
        }
        let mut reading = self.running.iter_mut().filter(|it| it.unread_tokens > 0);
        let read_id = reading.next().map(|call| {
            let piece = call.unread_tokens.min(PIECE_TOKENS);
            call.unread_tokens -= piece;
            step_ms += f64::from(piece) / READ_TOKENS_PER_MS;
            call.id
        });
        self.clock_ms += step_ms;
        for call in &mut self.running {
            if call.unread_tokens > 0 || Some(call.id) == read_id {
                continue;
            }
            let is_start = call.first_ms.is_none();
            call.record_event(self.clock_ms);
            if is_start {
                on_start(call, self.clock_ms);
            }
        }
    }
}
