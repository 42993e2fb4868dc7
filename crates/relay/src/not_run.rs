//! Evidence that a call has not run and never will.

use {
    crate::ReplyMetadata,
    hyper::{Request, StatusCode, body::Incoming, header::HeaderName, http::request},
    target::{AnswersRequest, Reply, SendError},
};

/// Header of a refusal to another instance: the call with the id that it names has not run and will not
/// run.
pub(crate) const NOT_RUN: HeaderName = HeaderName::from_static("x-rattan-not-run");

/// Value of [`NOT_RUN`] that names no call.
pub(crate) const UNNAMED_CALL: &str = "1";

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

    /// Evidence of `target` that refused the call, from an answer that is known to belong to it: the
    /// target says so, or whoever listens there says that it is another one.
    pub(crate) fn of_target(
        target: &str,
        status: StatusCode,
        metadata: &ReplyMetadata,
        _: &AnswersRequest,
    ) -> Option<Self> {
        let is_other = metadata.target.as_deref().is_some_and(|it| it != target);
        let says_so = metadata.not_run && !is_other;
        let is_refused = says_so || status == StatusCode::MISDIRECTED_REQUEST;
        is_refused.then_some(Self(()))
    }

    /// Evidence of another instance, by an answer of its own that names the call. Builds that name no call
    /// say [`UNNAMED_CALL`], which counts for the first call on a connection.
    pub(crate) fn of_instance(reply: &mut Reply) -> Option<Self> {
        let named = reply.headers().get(&NOT_RUN)?;
        let named = String::from_utf8_lossy(named.as_bytes()).into_owned();
        let evidence: Option<AnswersRequest> = match reply.check_id(Some(&named)) {
            Ok(evidence) => Some(evidence),
            Err(_) if named == UNNAMED_CALL => reply.check_id(None).ok(),
            Err(_) => None,
        };
        evidence.map(|_| Self(()))
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
