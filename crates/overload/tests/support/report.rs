//! What callers received.

use super::caller::{Call, Kind};

/// Outcomes of a set of calls.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcomes {
    pub calls_count: f64,
    pub in_time_count: f64,
    pub late_count: f64,
    /// Calls that were refused and didn't come back, or were refused twice.
    pub refused_count: f64,
    pub value: f64,
    pub possible_value: f64,
}

impl Outcomes {
    pub fn served_share(&self) -> f64 {
        (self.in_time_count + self.late_count) / self.calls_count
    }

    pub fn value_share(&self) -> f64 {
        self.value / self.possible_value
    }

    fn add(&mut self, end: &End) {
        let kind = end.call.kind;
        self.calls_count += 1.0;
        self.possible_value += kind.value();
        if end.is_whole && end.call.is_in_time() {
            self.in_time_count += 1.0;
            self.value += kind.value();
        } else if end.is_whole {
            self.late_count += 1.0;
            self.value += kind.late_value();
        } else if end.is_refused {
            self.refused_count += 1.0;
        }
    }
}

/// How a call ended for its caller.
#[derive(Clone, Debug)]
pub struct End {
    pub call: Call,
    pub is_whole: bool,
    pub is_refused: bool,
}

/// Ends of all calls of a run.
#[derive(Clone, Debug, Default)]
pub struct Report {
    pub ends: Vec<End>,
    /// Refusals, and those among them at a pool with over half of its slots free, by the model's own
    /// count.
    pub refusals_count: u32,
    pub refusals_with_room_count: u32,
    pub max_retry_part: f64,
}

impl Report {
    pub fn all(&self) -> Outcomes {
        self.select(|_| true)
    }

    pub fn kind(&self, kind: Kind) -> Outcomes {
        self.select(|call| call.kind == kind)
    }

    pub fn select(&self, is_selected: impl Fn(&Call) -> bool) -> Outcomes {
        let mut outcomes = Outcomes::default();
        let ends = self.ends.iter().filter(|end| is_selected(&end.call));
        ends.for_each(|end| outcomes.add(end));
        outcomes
    }
}
