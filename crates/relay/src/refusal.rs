//! Refusals: answers that the relay gives instead of a target.

use {
    crate::{Absence, Named, NotRun},
    bytes::Bytes,
    hyper::{
        StatusCode,
        header::{CONNECTION, CONTENT_TYPE, HeaderMap, HeaderValue, RETRY_AFTER},
    },
    std::time::Duration,
};

/// Retry delay for callers if no target can be reached, here or from other instances.
pub(crate) const NO_TARGET_RETRY_AFTER: Duration = Duration::from_millis(400);

/// Retry delay for callers if a target refused the call without running it, for example because it
/// is at capacity, and named no time.
pub(crate) const OVERLOADED_RETRY_AFTER: Duration = Duration::from_millis(250);
/// Longest retry delay for callers: later, other targets may have been added.
const MAX_RETRY_AFTER: Duration = Duration::from_mins(1);

/// Why a call is not sent to a target, or to no further one. It alone promises nothing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// A header is missing or invalid.
    BadHead,
    /// The body is longer than the configuration allows.
    BodyTooLong,
    /// The body did not arrive completely.
    BodyIncomplete,
    /// No route matches the host and path, or the key is missing or belongs to no client account.
    Absent(Absence),
    /// No configuration is known yet, or the known one is too old to reject an unknown route or
    /// key.
    NotReady,
    /// No target is available for the call.
    NoTarget,
    /// The homes of the call's route and client account leave no region.
    NoHome,
    /// All targets of the call's pool are outside its homes.
    OutsideHomes,
    /// All targets that might run the call are in evacuated failure domains.
    Evacuated,
    /// A target refused the call without running it, for example because it is at capacity, or this
    /// instance buffers too many request bodies.
    Overloaded,
    /// Too many calls wait for the targets, and refusing this one costs callers least.
    Pressure,
    /// The call would not start at any target before its time limit.
    CannotStart,
    /// The call or a part of its prompt crashed targets, so the call is not sent to another one.
    Quarantined,
    /// The call resumes a stream that can have begun at one of several software versions, and it is
    /// not known at which.
    OriginUnknown,
    /// No target runs the software version that began the stream which the call resumes.
    OriginGone,
    /// The time limit expired, and the call has not run.
    TooLate,
    /// This instance is shutting down, and the call is not expected to finish in time or was ended
    /// before it could run.
    ShuttingDown,
}

impl Reason {
    /// HTTP status of the answer.
    #[must_use]
    pub fn status(self) -> StatusCode {
        match self {
            Self::BadHead | Self::BodyIncomplete => StatusCode::BAD_REQUEST,
            Self::BodyTooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Absent(absence) => match absence.of() {
                Named::Route => StatusCode::NOT_FOUND,
                Named::Account => StatusCode::UNAUTHORIZED,
            },
            Self::NotReady
            | Self::NoTarget
            | Self::NoHome
            | Self::OutsideHomes
            | Self::Evacuated
            | Self::Overloaded
            | Self::Pressure
            | Self::CannotStart
            | Self::Quarantined
            | Self::OriginUnknown
            | Self::OriginGone
            | Self::TooLate
            | Self::ShuttingDown => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Message for the caller: what happened, and what to do about it.
    #[must_use]
    pub fn message(self) -> &'static str {
        match self {
            Self::BadHead => "the head of the call can't be used; correct it",
            Self::BodyTooLong => "the body is too long; send a shorter one",
            Self::BodyIncomplete => "the body did not arrive whole; send it again",
            Self::Absent(absence) => match absence.of() {
                Named::Route => "no route matches host and path; check both",
                Named::Account => "no client account holds this key; use a valid one",
            },
            Self::NotReady => "this instance has no current configuration; use another address",
            Self::NoTarget => "no target may take the call now; come back later",
            Self::NoHome => {
                "the homes of the route and of the client account have no region in common; name one in both, in the configuration"
            }
            Self::OutsideHomes => {
                "no target is in a home of the call; add targets there, or add a region with targets to the homes"
            }
            Self::Evacuated => {
                "all targets of the call are in evacuated failure domains; come back later"
            }
            Self::Overloaded => "all targets are full; come back later",
            Self::Pressure => {
                "too many calls wait for the targets; come back after the time in Retry-After, or add targets"
            }
            Self::CannotStart => {
                "the call would not start before its time limit; come back after the time in Retry-After, or allow more time"
            }
            Self::Quarantined => {
                "the call, or a part of its prompt, crashed several targets; change it, or come back later"
            }
            Self::OriginUnknown => {
                "it is not known which software version began the stream; begin it anew, without the last event's id"
            }
            Self::OriginGone => {
                "no target runs the software version that began the stream; begin it anew, without the last event's id"
            }
            Self::TooLate => "no target could be reached in time; the call has not run",
            Self::ShuttingDown => {
                "this instance shuts down before the call would end; use another address"
            }
        }
    }
}

/// Why a call that may have run has no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LostAnswer {
    /// The time limit expired.
    TimedOut,
    /// A target, or another instance, failed without a usable answer.
    TargetFailed,
    /// This instance shut down before the answer.
    Cut,
}

impl LostAnswer {
    /// HTTP status of the answer, which promises nothing.
    #[must_use]
    pub fn status(self) -> StatusCode {
        match self {
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
            Self::TargetFailed | Self::Cut => StatusCode::BAD_GATEWAY,
        }
    }

    /// Message for the caller: what happened.
    #[must_use]
    pub fn message(self) -> &'static str {
        match self {
            Self::TimedOut => "the target took too long; the call may have run",
            Self::TargetFailed => "the target broke off; the call may have run",
            Self::Cut => {
                "this instance shuts down before the target answered; the call may have run"
            }
        }
    }
}

/// A call that is not sent, or not sent again, and what the caller may do. It becomes a [`Refusal`]
/// with evidence that the call has not run, and promises nothing without.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Declined {
    /// Why.
    pub reason: Reason,
    /// Delay after which the caller should retry, if retrying makes sense.
    pub retry_after: Option<Duration>,
    /// Whether the connection is closed after the answer.
    pub close: bool,
}

impl Declined {
    /// Declines a call without a retry delay. The connection is closed if the body may not have been
    /// read or if the instance is shutting down.
    #[must_use]
    pub fn new(reason: Reason) -> Self {
        Self {
            reason,
            retry_after: None,
            close: matches!(
                reason,
                Reason::BodyTooLong | Reason::BodyIncomplete | Reason::ShuttingDown
            ),
        }
    }

    /// Sets the delay after which the caller should retry, at most a minute.
    #[must_use]
    pub fn retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after.min(MAX_RETRY_AFTER));
        self
    }
}

impl From<Reason> for Declined {
    fn from(reason: Reason) -> Self {
        Self::new(reason)
    }
}

/// Why no target answered a call. Whether the call has run is for whoever knows who had it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Unanswered {
    /// The call is sent to nobody any more.
    Declined(Declined),
    /// Whoever took the call gave no usable answer.
    Lost(LostAnswer),
    /// The shutdown ended the call.
    Cut,
}

impl From<Declined> for Unanswered {
    fn from(declined: Declined) -> Self {
        Self::Declined(declined)
    }
}

/// An answer that the relay gives instead of a target.
#[derive(Debug)]
pub struct Refusal {
    cause: Cause,
    retry_after: Option<Duration>,
    close: bool,
}

/// Why a call is refused.
#[derive(Debug)]
enum Cause {
    /// The call has not run and will not run.
    NotRun(Reason, NotRun),
    /// The call may have run.
    Unknown(LostAnswer),
}

impl Refusal {
    /// Refuses a call that has not run and will not run, as the evidence shows.
    #[must_use]
    pub fn not_run(declined: Declined, evidence: NotRun) -> Self {
        Self {
            cause: Cause::NotRun(declined.reason, evidence),
            retry_after: declined.retry_after,
            close: declined.close,
        }
    }

    /// Refuses a call that may have run.
    #[must_use]
    pub fn unknown(lost: LostAnswer) -> Self {
        Self {
            cause: Cause::Unknown(lost),
            retry_after: None,
            close: lost == LostAnswer::Cut,
        }
    }

    /// Whether the call has not run and will not run, also where the status promises nothing.
    #[must_use]
    pub fn is_not_run(&self) -> bool {
        matches!(self.cause, Cause::NotRun(..))
    }

    /// Name of the refusal among those because of homes; `None` if it is none of them.
    pub(crate) fn homes_label(&self) -> Option<&'static str> {
        match self.cause {
            Cause::NotRun(Reason::NoHome, _) => Some("no_home"),
            Cause::NotRun(Reason::OutsideHomes, _) => Some("outside_homes"),
            Cause::NotRun(..) | Cause::Unknown(_) => None,
        }
    }

    /// How the call ended, for its log line.
    pub(crate) fn outcome(&self) -> &'static str {
        match self.cause {
            Cause::Unknown(LostAnswer::Cut) => "cut",
            Cause::NotRun(reason, _) if reason.status() == StatusCode::SERVICE_UNAVAILABLE => {
                "refused"
            }
            Cause::NotRun(..) | Cause::Unknown(_) => "failed",
        }
    }

    /// HTTP status of the answer. Only 503 promises the caller that the call has not run and will not
    /// run.
    #[must_use]
    pub fn status(&self) -> StatusCode {
        match self.cause {
            Cause::NotRun(reason, _) => reason.status(),
            Cause::Unknown(lost) => lost.status(),
        }
    }

    /// Message for the caller.
    #[must_use]
    pub fn message(&self) -> &'static str {
        match self.cause {
            Cause::NotRun(reason, _) => reason.message(),
            Cause::Unknown(lost) => lost.message(),
        }
    }

    /// Headers of the answer; `Retry-After` is in seconds with milliseconds as decimals.
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

    /// Body of the answer: the message.
    #[must_use]
    pub fn body(&self) -> Bytes {
        Bytes::from_static(self.message().as_bytes())
    }
}
