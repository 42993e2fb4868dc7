//! Error responses to callers and operators.

use {
    decision::Outcome,
    serde_json::{Value, json},
    snafu::Snafu,
    std::time::Duration,
};

/// Kind of a refusal: determines the HTTP status and `type` in the JSON form.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalKind {
    /// The request cannot be parsed, or a field is missing or invalid.
    Invalid,
    /// The key is missing or unknown.
    Unauthenticated,
    /// The key does not permit this request.
    Forbidden,
    /// The requested object or path does not exist, or the caller may not see it.
    NotFound,
    /// The request conflicts with an earlier request or with a newer revision.
    Conflict,
    /// The body exceeds the size limit.
    TooLarge,
    /// A limit of the client account is exhausted.
    Limited,
    /// Targets or the key-value service cannot accept the request now.
    Unavailable,
    /// The request exceeded its time limit.
    Timeout,
    /// A target failed.
    TargetFailed,
}

impl RefusalKind {
    /// Returns the HTTP status.
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

    /// Returns the `type` in the JSON form.
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

/// Error response to a request. All HTTP interfaces use this form.
#[derive(Clone, Debug, PartialEq, Snafu)]
#[snafu(display("{message}"))]
pub struct Refusal {
    /// Kind of the refusal.
    pub kind: RefusalKind,
    /// What went wrong and how to fix it.
    pub message: String,
    /// Whether the request ran, as far as is known.
    pub outcome: Outcome,
    /// Delay before the caller should retry, if a retry can succeed.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal of a request that did not run.
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

    /// Creates a refusal of a request that may have run.
    pub fn unknown<Message>(kind: RefusalKind, message: Message) -> Self
    where
        Message: Into<String>,
    {
        Self {
            outcome: Outcome::Unknown,
            ..Self::not_run(kind, message)
        }
    }

    /// Sets the delay before the caller should retry.
    #[must_use]
    pub fn retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }

    /// Returns the JSON form: `{"error":{"type","message","outcome","retry_after_ms"}}`.
    #[must_use]
    pub fn json(&self) -> Value {
        json!({
            "error": {
                "type": self.kind.name(),
                "message": self.message,
                "outcome": self.outcome,
                "retry_after_ms": self.retry_after.map(|delay| {
                    u64::try_from(delay.as_millis()).unwrap_or(u64::MAX)
                }),
            }
        })
    }
}
