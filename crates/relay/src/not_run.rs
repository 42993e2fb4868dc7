//! Evidence that a call has not run and never will.

use {
    crate::ReplyMetadata,
    hyper::{HeaderMap, Request, StatusCode, body::Incoming, header::HeaderName, http::request},
    target::SendError,
};

/// Header of a refusal to another instance: the call has not run and will not run.
pub(crate) const NOT_RUN: HeaderName = HeaderName::from_static("x-rattan-not-run");

/// Shows that a call, or one attempt at it, has not run and never will.
///
/// There is no public constructor and no copy: it comes from a call that was not sent yet, from an
/// attempt that wrote no byte, or from whoever got the call and said so. Only with it can a
/// [`Refusal`](crate::Refusal) promise the caller that the call has not run.
///
/// ```
/// use relay::{Declined, NotRun, NotSent, Refusal};
///
/// fn refuse(declined: Declined, evidence: NotRun) -> Refusal {
///     Refusal::not_run(declined, evidence)
/// }
///
/// fn refuse_early(declined: Declined, not_sent: NotSent) -> Refusal {
///     Refusal::not_run(declined, not_sent.into())
/// }
/// ```
///
/// Without evidence, nothing can be promised:
///
/// ```compile_fail,E0277
/// use relay::{Declined, Refusal};
///
/// fn refuse(declined: Declined) -> Refusal {
///     declined.into()
/// }
/// ```
///
/// ```compile_fail,E0423
/// use relay::{Declined, NotRun, Refusal};
///
/// fn refuse(declined: Declined) -> Refusal {
///     Refusal::not_run(declined, NotRun(()))
/// }
/// ```
///
/// Nor can it be used twice:
///
/// ```compile_fail,E0382
/// use relay::{Declined, NotRun, Refusal};
///
/// fn refuse(declined: Declined, evidence: NotRun) -> [Refusal; 2] {
///     [
///         Refusal::not_run(declined, evidence),
///         Refusal::not_run(declined, evidence),
///     ]
/// }
/// ```
#[derive(Debug, Eq, PartialEq)]
#[must_use]
pub struct NotRun(());

impl NotRun {
    /// Evidence of an attempt that wrote no byte, and why it did not; the error if it may have written
    /// one.
    pub(crate) fn of_unsent(error: SendError) -> Result<(Self, String), SendError> {
        match error {
            SendError::NotSent { reason, .. } => Ok((Self(()), reason)),
            error => Err(error),
        }
    }

    /// Evidence of a target that refused the call: it says so, or it is not the one that was meant.
    pub(crate) fn of_target(status: StatusCode, metadata: &ReplyMetadata) -> Option<Self> {
        let is_refused = metadata.not_run || status == StatusCode::MISDIRECTED_REQUEST;
        is_refused.then_some(Self(()))
    }

    /// Evidence of another instance, by an answer of its own. Builds before [`NOT_RUN`] was added give
    /// their word by status 503, with which no target's answer is passed on.
    pub(crate) fn of_instance(status: StatusCode, headers: &HeaderMap) -> Option<Self> {
        let says_so = headers.contains_key(&NOT_RUN) || status == StatusCode::SERVICE_UNAVAILABLE;
        says_so.then_some(Self(()))
    }
}

/// Shows that a call was sent to nobody yet. Sending consumes it.
///
/// ```compile_fail,E0382
/// use relay::{Declined, NotSent, Refusal};
///
/// fn send(not_sent: NotSent) {}
///
/// fn refuse_after(declined: Declined, not_sent: NotSent) -> Refusal {
///     send(not_sent);
///     Refusal::not_run(declined, not_sent.into())
/// }
/// ```
#[derive(Debug)]
#[must_use]
pub struct NotSent(());

impl NotSent {
    /// Takes a request apart that has arrived and was read by nobody.
    pub(crate) fn receive(request: Request<Incoming>) -> (request::Parts, Incoming, Self) {
        let (head, body) = request.into_parts();
        (head, body, Self(()))
    }
}

impl From<NotSent> for NotRun {
    fn from(NotSent(()): NotSent) -> Self {
        Self(())
    }
}
