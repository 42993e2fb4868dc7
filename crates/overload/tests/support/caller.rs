//! Calls and what they are worth to their callers.

/// Milliseconds since the start of a run.
pub type Ms = f64;

/// Kind of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// Long prompt, short answer, less urgent.
    Long,
    /// Short prompt, long answer, urgent.
    Short,
}

impl Kind {
    pub const ALL: [Self; 2] = [Self::Short, Self::Long];

    /// Prompt tokens that no engine has read yet.
    pub fn unread_tokens(self) -> u32 {
        match self {
            Self::Long => 1_670,
            Self::Short => 177,
        }
    }

    pub fn events_count(self) -> u32 {
        match self {
            Self::Long => 10,
            Self::Short => 58,
        }
    }

    pub fn objective_ms(self) -> Ms {
        match self {
            Self::Long => 600.0,
            Self::Short => 400.0,
        }
    }

    /// Longest pause between events that is still in time.
    pub fn max_gap_ms(self) -> Ms {
        match self {
            Self::Long => Ms::INFINITY,
            Self::Short => 400.0,
        }
    }

    pub fn limit_ms(self) -> Ms {
        match self {
            Self::Long => 5_000.0,
            Self::Short => 15_000.0,
        }
    }

    pub fn value(self) -> f64 {
        match self {
            Self::Long => 3.1,
            Self::Short => 2.3,
        }
    }

    pub fn late_value(self) -> f64 {
        match self {
            Self::Long => 0.62,
            Self::Short => 0.46,
        }
    }

    pub fn priority(self) -> u8 {
        match self {
            Self::Long => 1,
            Self::Short => 0,
        }
    }
}

/// A call, which its caller may submit twice.
#[derive(Clone, Debug)]
pub struct Call {
    pub id: usize,
    pub kind: Kind,
    pub account: usize,
    /// When it was first submitted; limit and objective count from there.
    pub born_ms: Ms,
    pub is_return: bool,
    /// Instance that takes it.
    pub instance: usize,
    /// Tokens in flight at its engine when it was sent.
    pub tokens_ahead: f64,
    pub sent_ms: Ms,
    pub engine: usize,
    pub unread_tokens: u32,
    pub events_left: u32,
    pub first_ms: Option<Ms>,
    pub last_ms: Ms,
    pub worst_gap_ms: Ms,
}

impl Call {
    pub fn deadline_ms(&self) -> Ms {
        self.born_ms + self.kind.limit_ms()
    }

    /// Work that it needs, in tokens.
    pub fn tokens_count(&self) -> u32 {
        self.kind.unread_tokens() + self.kind.events_count()
    }

    /// Records an event that was produced at `now_ms`.
    pub fn record_event(&mut self, now_ms: Ms) {
        if self.first_ms.is_some() {
            self.worst_gap_ms = self.worst_gap_ms.max(now_ms - self.last_ms);
        }
        self.first_ms.get_or_insert(now_ms);
        self.last_ms = now_ms;
        self.events_left -= 1;
    }

    /// Whether its answer, which is whole, was in time.
    pub fn is_in_time(&self) -> bool {
        let start_ms = self.first_ms.unwrap_or(Ms::INFINITY) - self.born_ms;
        start_ms <= self.kind.objective_ms() && self.worst_gap_ms <= self.kind.max_gap_ms()
    }
}
