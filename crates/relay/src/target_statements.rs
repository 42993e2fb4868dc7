//! What targets state of themselves in their answers.

use std::time::{Duration, SystemTime};

/// A value that a target states in a header.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Stated<Value> {
    /// The value.
    Valid(Value),
    /// The header holds no such value.
    Invalid,
}

impl<Value> Stated<Value> {
    /// The value, if the target states a valid one.
    pub fn valid(self) -> Option<Value> {
        match self {
            Self::Valid(value) => Some(value),
            Self::Invalid => None,
        }
    }
}

/// When a target that refuses a call takes calls again.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum RetryAfter {
    /// After this time.
    Delay(Duration),
    /// At this time of day.
    Date(SystemTime),
}

impl RetryAfter {
    /// Time to wait if the time of day is `now`.
    #[must_use]
    pub fn delay(self, now: SystemTime) -> Duration {
        match self {
            Self::Delay(delay) => delay,
            Self::Date(date) => date.duration_since(now).unwrap_or_default(),
        }
    }
}

/// A header that cannot be read, or that is sent more than once.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MalformedHeader {
    /// Name of the header.
    pub name: &'static str,
    /// Its values, shortened if they are long.
    pub text: String,
}

/// What a target states of itself in an answer, whatever the answer is. Each field is `None` if the
/// answer has no such header.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TargetStatements {
    /// Whether the target is about to exit and takes no new calls.
    pub is_leaving: Option<Stated<bool>>,
    /// When the target takes calls of this instance again. It holds only in a refusal.
    pub retry_after: Option<Stated<RetryAfter>>,
    /// Calls per second that the target takes from all instances together from now on; finite and
    /// not negative.
    pub limit_per_s: Option<Stated<f64>>,
    /// Calls per second that the target can refuse to all instances together before it fails; finite
    /// and not negative.
    pub max_refusals_per_s: Option<Stated<f64>>,
    /// How much longer the target stays cold; zero if it is warm.
    pub cold_left: Option<Stated<Duration>>,
    /// Malformed headers among these, for the log.
    pub malformed: Vec<MalformedHeader>,
}

/// Something that a target has not stated before.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum NewStatement {
    /// It is about to exit.
    Leaving,
    /// It wants no calls for this time.
    Backoff(Duration),
    /// It stays cold for this time.
    Cold(Duration),
    /// Its limit in calls per second; `None` if it has none any more.
    Limit(Option<f64>),
    /// The refusals per second that it bears; `None` if it states no bound any more.
    MaxRefusals(Option<f64>),
    /// A header that cannot be read, or that is sent more than once.
    Malformed(MalformedHeader),
}
