//! Errors as callers and operators see them.

use {
    decision::Outcome,
    serde_json::{Value, json},
    snafu::Snafu,
    std::time::Duration,
};

/// Kind of a refusal; `type` in its JSON form.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalKind {
    /// The request cannot be read or lacks something.
    Invalid,
    /// The key is missing or unknown.
    Unauthenticated,
    /// The key may not do this.
    Forbidden,
    /// There is no such thing, or the caller may not see it.
    NotFound,
    /// The request contradicts an earlier one or a newer revision.
    Conflict,
    /// The body exceeds its limit.
    TooLarge,
    /// A limit of the client account is exhausted.
    Limited,
    /// Targets or the key-value service cannot take the request now.
    Unavailable,
    /// The request took longer than its bound.
    Timeout,
    /// A target failed.
    TargetFailed,
}

impl RefusalKind {
    /// HTTP status.
    #[must_use]
    pub fn status(self) -> u16 {
        match self {
            Self::Invalid => 400,
            Self::Unauthenticated => 401,
            Self::Forbidden => 403,
            Self::NotFound => 404,
            Self::Conflict => 409,
            Self::TooLarge => 413,
            Self::Limited => 429,
            Self::TargetFailed => 502,
            Self::Unavailable => 503,
            Self::Timeout => 504,
        }
    }

    /// Name in JSON.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Invalid => "invalid_request",
            Self::Unauthenticated => "unauthenticated",
            Self::Forbidden => "forbidden",
            Self::NotFound => "not_found",
            Self::Conflict => "conflict",
            Self::TooLarge => "too_large",
            Self::Limited => "limited",
            Self::TargetFailed => "target_failed",
            Self::Unavailable => "unavailable",
            Self::Timeout => "timeout",
        }
    }
}

/// A request that was not answered, in the one shape that all interfaces use.
#[derive(Clone, Debug, PartialEq, Snafu)]
#[snafu(display("{message}"))]
pub struct Refusal {
    /// What kind of refusal.
    pub kind: RefusalKind,
    /// What is wrong and what to do about it.
    pub message: String,
    /// Whether the request ran.
    pub outcome: Outcome,
    /// When to come back, if that helps.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// A refusal of a request of which nothing ran.
    pub fn not_run<Message>(kind: RefusalKind, message: Message) -> Self
    where
        Message: Into<String>,
    {
        Self {
            kind,
            message: message.into(),
            outcome: Outcome::NotRun,
            retry_after: None,
        }
    }

    /// A refusal of a request that may have run.
    pub fn unknown<Message>(kind: RefusalKind, message: Message) -> Self
    where
        Message: Into<String>,
    {
        Self {
            outcome: Outcome::Unknown,
            ..Self::not_run(kind, message)
        }
    }

    /// Sets when to come back.
    #[must_use]
    pub fn retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }

    /// JSON form: `{"error":{"type","message","outcome","retry_after_ms"}}`.
    #[must_use]
    pub fn json(&self) -> Value {
        json!({
            "error": {
                "type": self.kind.name(),
                "message": self.message,
                "outcome": self.outcome,
                "retry_after_ms": self.retry_after.map(|after| {
                    u64::try_from(after.as_millis()).unwrap_or(u64::MAX)
                }),
            }
        })
    }
}
