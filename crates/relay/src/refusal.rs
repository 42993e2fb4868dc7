//! Answers that are the system's own.

use {
    bytes::Bytes,
    hyper::{
        StatusCode,
        header::{CONNECTION, CONTENT_TYPE, HeaderMap, HeaderValue, RETRY_AFTER},
    },
    std::time::Duration,
};

/// Why a call was not answered by a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// The head can't be used.
    BadHead,
    /// The body is longer than the configuration allows.
    BodyTooLong,
    /// The body did not arrive.
    BodyIncomplete,
    /// No route matches.
    NoRoute,
    /// No client account holds the key.
    NoAccount,
    /// No configuration is known yet, or the known one may be too old to refuse by.
    NotReady,
    /// No target may take the call now.
    NoTarget,
    /// Targets said that they have no room.
    Overloaded,
    /// The time for the call is over and it was never sent.
    TooLate,
    /// The time for the call is over; it may have run.
    TimedOut,
    /// A target broke off; the call may have run.
    TargetFailed,
    /// This instance leaves and the call would not end in time.
    ShuttingDown,
    /// This instance ends before the target has answered; the call may have run.
    Cut,
}

impl Reason {
    /// Status of the answer.
    #[must_use]
    pub fn status(self) -> StatusCode {
        match self {
            Self::BadHead | Self::BodyIncomplete => StatusCode::BAD_REQUEST,
            Self::BodyTooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::NoAccount => StatusCode::UNAUTHORIZED,
            Self::NotReady
            | Self::NoTarget
            | Self::Overloaded
            | Self::TooLate
            | Self::ShuttingDown => StatusCode::SERVICE_UNAVAILABLE,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
            Self::TargetFailed | Self::Cut => StatusCode::BAD_GATEWAY,
        }
    }

    /// Whether the answer says that the call has not run and never will.
    #[must_use]
    pub fn promises_not_run(self) -> bool {
        self.status() == StatusCode::SERVICE_UNAVAILABLE
    }

    /// What happened, and what the caller can do.
    #[must_use]
    pub fn message(self) -> &'static str {
        match self {
            Self::BadHead => "the head of the call can't be used; correct it",
            Self::BodyTooLong => "the body is too long; send a shorter one",
            Self::BodyIncomplete => "the body did not arrive whole; send it again",
            Self::NoRoute => "no route matches host and path; check both",
            Self::NoAccount => "no client account holds this key; use a valid one",
            Self::NotReady => "this instance has no current configuration; use another address",
            Self::NoTarget => "no target may take the call now; come back later",
            Self::Overloaded => "all targets are full; come back later",
            Self::TooLate => "no target could be reached in time; the call has not run",
            Self::TimedOut => "the target took too long; the call may have run",
            Self::TargetFailed => "the target broke off; the call may have run",
            Self::ShuttingDown => {
                "this instance shuts down before the call would end; use another address"
            }
            Self::Cut => {
                "this instance shuts down before the target answered; the call may have run"
            }
        }
    }
}

/// An answer of the system's own.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// When the caller should come back.
    pub retry_after: Option<Duration>,
    /// Whether the connection ends with this answer.
    pub close: bool,
}

impl Refusal {
    /// A refusal without a time to come back.
    #[must_use]
    pub fn new(reason: Reason) -> Self {
        Self {
            reason,
            retry_after: None,
            close: matches!(
                reason,
                Reason::BodyTooLong | Reason::BodyIncomplete | Reason::ShuttingDown | Reason::Cut
            ),
        }
    }

    /// Sets when to come back.
    #[must_use]
    pub fn retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }

    /// Headers of the answer.
    #[must_use]
    pub fn headers(&self) -> HeaderMap {
        let mut headers = HeaderMap::new();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        if self.close {
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        let seconds = self
            .retry_after
            .map(|it| format!("{:.3}", it.as_secs_f64()));
        if let Some(value) = seconds.and_then(|it| HeaderValue::from_str(&it).ok()) {
            headers.insert(RETRY_AFTER, value);
        }
        headers
    }

    /// Body of the answer.
    #[must_use]
    pub fn body(&self) -> Bytes {
        Bytes::from_static(self.reason.message().as_bytes())
    }
}

impl From<Reason> for Refusal {
    fn from(reason: Reason) -> Self {
        Self::new(reason)
    }
}
