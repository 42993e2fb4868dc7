//! One try to have a call run by one target.

use {
    crate::{HeaderFormat, ReplyMetadata, stream::Events},
    bytes::Bytes,
    http_body_util::Full,
    hyper::{HeaderMap, Request, StatusCode},
    std::{net::SocketAddr, time::Duration},
    target::{Client, Reply, Reuse, SendError},
};

/// The whole body of an answer, or the beginning of one that is still being made.
#[derive(Debug)]
pub(crate) enum Content {
    /// The whole body.
    Whole(Bytes),
    /// Events; the first one has arrived.
    Events(Box<Events>),
}

/// An answer of a target.
#[derive(Debug)]
pub(crate) struct TargetAnswer {
    /// Status.
    pub(crate) status: StatusCode,
    /// Headers as the target sent them.
    pub(crate) headers: HeaderMap,
    /// What they say.
    pub(crate) notes: ReplyMetadata,
    /// Body.
    pub(crate) content: Content,
}

/// What a try came to.
#[derive(Debug)]
pub enum AttemptOutcome<Answer> {
    /// The target answered the call, with success or with a failure of its own.
    Answered(Answer),
    /// No byte of the call was written.
    NotSent(String),
    /// The target says that it did not run the call; its status.
    NotRun(StatusCode, ReplyMetadata),
    /// The target may have run the call, and its answer is missing or can't be used.
    Unknown(String),
}

/// A call as it goes to one target.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Outgoing<'call> {
    /// Address of the target.
    pub(crate) address: SocketAddr,
    /// Id that the answer has to carry.
    pub(crate) id: &'call str,
    /// Whether a kept connection may be used.
    pub(crate) reuse: Reuse,
    /// Longest time until the head of the answer, and for a stream until its first event.
    pub(crate) first_byte: Duration,
    /// Longest time until the body is whole.
    pub(crate) whole: Duration,
    /// Whether the answer is a stream of events.
    pub(crate) stream: bool,
}

/// Sends a call once and reads its answer, or the beginning of its stream.
pub(crate) async fn attempt<Format>(
    client: &Client,
    wire: &Format,
    request: Request<Full<Bytes>>,
    outgoing: Outgoing<'_>,
) -> AttemptOutcome<TargetAnswer>
where
    Format: HeaderFormat,
{
    let Outgoing {
        address,
        reuse,
        first_byte,
        ..
    } = outgoing;
    let reply = match client.send(address, request, reuse, first_byte).await {
        Ok(reply) => reply,
        Err(SendError::NotSent { reason, .. }) => return AttemptOutcome::NotSent(reason),
        Err(error) => return AttemptOutcome::Unknown(error.to_string()),
    };
    let notes = wire.parse_reply(reply.headers());
    let status = reply.status();
    if notes.id.as_deref().is_some_and(|id| id != outgoing.id) {
        // A late answer to an earlier call on this connection; the one to this call may follow.
        client.close_idle(address);
        return AttemptOutcome::Unknown("the answer belongs to another call".to_owned());
    }
    if notes.not_run || status == StatusCode::MISDIRECTED_REQUEST {
        return not_run(reply, notes, outgoing.whole).await;
    }
    if promises_not_run(status) {
        return AttemptOutcome::Unknown(format!("{status} without word that the call did not run"));
    }
    if status.is_success() && !notes.has_proof {
        return AttemptOutcome::Unknown("the answer carries no proof of its target".to_owned());
    }
    read(reply, notes, &outgoing).await
}

/// Whether callers take a status as a promise that the call has not run.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::REQUEST_TIMEOUT
    )
}

/// Reads the rest of a refusal, so that its connection can be used again.
async fn not_run(
    mut reply: Reply,
    notes: ReplyMetadata,
    whole: Duration,
) -> AttemptOutcome<TargetAnswer> {
    let status = reply.status();
    if let Err(error) = reply.body(whole).await {
        log::debug!("refusal without its whole body: {error}");
    }
    AttemptOutcome::NotRun(status, notes)
}

async fn read(
    mut reply: Reply,
    notes: ReplyMetadata,
    outgoing: &Outgoing<'_>,
) -> AttemptOutcome<TargetAnswer> {
    let (status, headers) = (reply.status(), reply.headers().clone());
    let content = if outgoing.stream && status.is_success() {
        Events::begin(reply, outgoing.first_byte)
            .await
            .map(|events| Content::Events(Box::new(events)))
    } else {
        reply.body(outgoing.whole).await.map(Content::Whole)
    };
    match content {
        Ok(content) => AttemptOutcome::Answered(TargetAnswer {
            status,
            headers,
            notes,
            content,
        }),
        Err(error) => AttemptOutcome::Unknown(error.to_string()),
    }
}
