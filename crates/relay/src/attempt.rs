//! A single attempt to have a target run a call.

use {
    crate::{
        HeaderFormat, NotRun, ReplyMetadata, TargetState, TurnedAway,
        call_holder::HandedOver,
        event_stream::EventStream,
        held_bytes::{HeldBytes, HeldFor},
        pool_probe::incarnation_probe,
        registered_process::ProcessCheck,
        unframed_pools::UnframedPools,
    },
    bytes::{Bytes, BytesMut},
    http_body_util::Full,
    hyper::{HeaderMap, Request, StatusCode},
    routes::{Pool, PoolId},
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
    target::{
        AnswersRequest, BodyPart, Client, NamedRequest, Reply, Reuse, SendError, StartTimeout,
        StreamPosition, WholeBody, WitnessAhead,
    },
    tokio::time::timeout,
};

/// Longest body of a refusal that is read, in bytes.
const MAX_REFUSAL_BYTES: usize = 64 << 10;
/// Timeout for reading the body of a refusal.
const REFUSAL_BODY_TIMEOUT: Duration = Duration::from_millis(100);

/// Most bytes that are reserved for a body before they arrive.
const AHEAD_BYTES: usize = 256 << 10;

/// Time within which a link that is cut ends all connections. The caller of a stream has its last event by then;
/// that of a whole body would wait for it.
const STREAM_CUT_SPREAD: Duration = Duration::from_millis(250);

/// The body of a target's answer: complete, or a stream that has begun.
#[derive(Debug)]
pub(crate) enum Content {
    /// The complete body, and what shows that it is complete.
    Whole(Bytes, WholeBody),
    /// An event stream whose first event has arrived.
    Events(Box<EventStream>),
    /// An event stream that another instance passes on, and whose first event has arrived.
    Forwarded(Box<EventStream>),
}

/// An answer from a target.
#[derive(Debug)]
pub(crate) struct TargetAnswer {
    /// HTTP status.
    pub(crate) status: StatusCode,
    /// Headers as the target sent them.
    pub(crate) headers: HeaderMap,
    /// Metadata parsed from the headers.
    pub(crate) metadata: ReplyMetadata,
    /// Body of the answer.
    pub(crate) content: Content,
    /// When its connection was opened.
    pub(crate) connection_opened_at: Instant,
}

impl TargetAnswer {
    /// Whether the target has begun to answer the call: with the whole body, or with an event.
    pub(crate) fn has_begun(&self) -> bool {
        let has_content = match &self.content {
            Content::Whole(..) => true,
            Content::Events(events) | Content::Forwarded(events) => events.has_first_event(),
        };
        has_content && self.status.is_success()
    }
}

/// How an attempt ended.
#[derive(Debug)]
pub enum AttemptOutcome<Answer> {
    /// The target answered the call, with a success or with its own error status.
    Answered(Answer),
    /// No byte of the call was sent, so it has not run; the reason.
    NotSent(String, NotRun),
    /// The target said that it did not run the call; the status and metadata of its answer.
    NotRun(StatusCode, ReplyMetadata, NotRun),
    /// The target may have run the call, but its answer is missing or unusable.
    Unknown {
        /// Why.
        reason: String,
        /// Whether the connection ended before the answer, or the first event of its stream, was
        /// complete.
        disconnected: bool,
        /// Why an answer that came is not used; `None` if none came.
        turned_away: Option<TurnedAway>,
    },
}

impl<Answer> From<TurnedAway> for AttemptOutcome<Answer> {
    fn from(turned_away: TurnedAway) -> Self {
        Self::Unknown {
            reason: turned_away.to_string(),
            disconnected: false,
            turned_away: Some(turned_away),
        }
    }
}

impl<Answer> From<SendError> for AttemptOutcome<Answer> {
    fn from(error: SendError) -> Self {
        match NotRun::of_unsent(error) {
            Ok((not_run, reason)) => Self::NotSent(reason, not_run),
            Err(error) => Self::Unknown {
                disconnected: matches!(
                    error,
                    SendError::Unknown {
                        disconnected: true,
                        ..
                    }
                ),
                reason: error.to_string(),
                turned_away: None,
            },
        }
    }
}

/// Parameters of one attempt.
#[derive(Clone, Copy)]
pub(crate) struct AttemptParams<'call, Format, Timeout, Observe> {
    /// The target.
    pub(crate) target: &'call TargetState,
    /// Pools of the configuration that admitted the call.
    pub(crate) pools: &'call BTreeMap<PoolId, Pool>,
    /// Pool of the target.
    pub(crate) pool: &'call PoolId,
    /// Pools that are known to answer with neither a length nor chunks.
    pub(crate) unframed_pools: &'call UnframedPools,
    /// Request id of the call, which shows that an answer belongs to it.
    pub(crate) id: &'call str,
    /// Whether an idle connection of the pool may be used.
    pub(crate) reuse: Reuse,
    /// Timeout for the head of the answer. For a stream, it applies anew to its first event.
    pub(crate) start_timeout: &'call Timeout,
    /// Finds out which process answers the call, before it is sent.
    pub(crate) process_check: &'call ProcessCheck<Format>,
    /// When an answer that is read as a whole must be complete.
    pub(crate) deadline: Instant,
    /// Memory for an answer that is read as a whole.
    pub(crate) held_bytes: &'call HeldBytes,
    /// Whether a successful answer is an event stream.
    pub(crate) stream: bool,
    /// Where the events of a stream must go on.
    pub(crate) position: StreamPosition,
    /// Called with the head of the answer once that has arrived, whatever becomes of the answer, and with
    /// the evidence that it belongs to the call.
    pub(crate) observe: Observe,
}

/// Sends a call to a target once and reads its answer, or the first event of its stream.
pub(crate) async fn attempt<Format, Timeout, Observe>(
    client: &Client,
    header_format: &Format,
    request: Request<Full<Bytes>>,
    params: AttemptParams<'_, Format, Timeout, Observe>,
    _: HandedOver,
) -> AttemptOutcome<TargetAnswer>
where
    Format: HeaderFormat,
    Timeout: StartTimeout,
    Observe: Fn(&Reply, &ReplyMetadata, Option<&AnswersRequest>),
{
    let AttemptParams {
        target,
        reuse,
        start_timeout,
        ..
    } = params;
    let address = target.address;
    let named = NamedRequest {
        request,
        id: params.id,
    };
    let probe = || incarnation_probe(header_format, target, params.pools, params.pool);
    let mut ahead = WitnessAhead::NotNeeded;
    if params.unframed_pools.has(params.pool)
        && let Some(probe) = probe()
    {
        ahead = Box::pin(client.open_witness(address, &probe)).await;
    }
    let reuse = ahead.limit(reuse);
    let sending = client.send_prepared(address, named, reuse, start_timeout, params.process_check);
    let sent = match &ahead {
        // Rare, and too large to be part of every call.
        WitnessAhead::Open(_) => Box::pin(ahead.beside(sending)).await,
        WitnessAhead::NotNeeded | WitnessAhead::Failed => sending.await,
    };
    let mut reply = match sent {
        Ok(reply) => reply,
        Err(error) => return error.into(),
    };
    let metadata = header_format.parse_reply(reply.headers());
    let status = reply.status();
    let checked = reply.check_id(metadata.id.as_deref());
    (params.observe)(&reply, &metadata, checked.as_ref().ok());
    let evidence = match checked {
        Ok(evidence) => evidence,
        Err(reason) => {
            // This is a late answer to an earlier call on this connection; others may be on their way
            // on those that are idle.
            client.close_idle(address);
            return TurnedAway::Unattributed { reason }.into();
        }
    };
    if let Some(not_run) = NotRun::of_target(&target.id, status, &metadata, &evidence) {
        read_refusal(reply).await;
        return AttemptOutcome::NotRun(status, metadata, not_run);
    }
    if promises_not_run(status) {
        return TurnedAway::NoWord.into();
    }
    if status.is_success() && !metadata.has_proof {
        return TurnedAway::NoProof.into();
    }
    if reply.ends_with_connection() {
        params.unframed_pools.add(params.pool);
        if let Some(probe) = probe() {
            let cut_spread = if params.stream {
                STREAM_CUT_SPREAD
            } else {
                Duration::ZERO
            };
            let opened_at = reply.connection_opened_at();
            let probe = params.process_check.expect(probe, opened_at);
            reply.expect_incarnation(probe, ahead, cut_spread);
        }
    }
    read_answer(reply, metadata, &params).await
}

/// Whether callers take `status` as a promise that the call has not run. Unless the target made
/// that promise explicitly, such an answer is not passed on and the outcome counts as unknown.
pub(crate) fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::REQUEST_TIMEOUT
    )
}

/// Reads the body of a target's refusal, so that its connection can be reused. A body that is long,
/// slow or ends with the connection is not worth the wait.
async fn read_refusal(mut reply: Reply) {
    let body = reply.discard_body(MAX_REFUSAL_BYTES, REFUSAL_BODY_TIMEOUT);
    if let Err(error) = body.await {
        log::debug!("could not read the body of a target's refusal: {error}");
    }
}

/// Reads the body of an answer, or the first event of its stream.
async fn read_answer<Format, Timeout, Observe>(
    mut reply: Reply,
    metadata: ReplyMetadata,
    params: &AttemptParams<'_, Format, Timeout, Observe>,
) -> AttemptOutcome<TargetAnswer>
where
    Timeout: StartTimeout,
{
    let (status, headers) = (reply.status(), reply.headers().clone());
    let connection_opened_at = reply.connection_opened_at();
    let time_left = params.deadline.saturating_duration_since(Instant::now());
    let content = if params.stream && status.is_success() {
        EventStream::open(reply, params.start_timeout, params.position)
            .await
            .map(|events| Content::Events(Box::new(events)))
    } else {
        read_whole(&mut reply, params.held_bytes, time_left)
            .await
            .map(|(body, whole)| Content::Whole(body, whole))
    };
    match content {
        Ok(content) => AttemptOutcome::Answered(TargetAnswer {
            status,
            headers,
            metadata,
            content,
            connection_opened_at,
        }),
        Err(error) => error.into(),
    }
}

/// Reads a whole body within `time_left`. What the call holds waits for memory.
pub(crate) async fn read_whole(
    reply: &mut Reply,
    held_bytes: &HeldBytes,
    time_left: Duration,
) -> Result<(Bytes, WholeBody), SendError> {
    let address = reply.address();
    let unknown = |reason: String| SendError::Unknown {
        address,
        reason,
        disconnected: false,
    };
    let read = timeout(time_left, read_held(reply, held_bytes)).await;
    match read {
        Ok(Ok(Some(whole))) => Ok(whole),
        Ok(Ok(None)) => Err(unknown("there is no memory for the answer".to_owned())),
        Ok(Err(error)) => Err(error),
        Err(_) => {
            let time_ms = time_left.as_millis();
            Err(unknown(format!("no whole body in {time_ms} ms")))
        }
    }
}

/// Reads a whole body; `None` if there is no memory for it.
async fn read_held(
    reply: &mut Reply,
    held_bytes: &HeldBytes,
) -> Result<Option<(Bytes, WholeBody)>, SendError> {
    let mut permit = held_bytes.hold(HeldFor::Answer, 0);
    let stated_length = reply.stated_length().unwrap_or(0).min(AHEAD_BYTES);
    if !permit.resize_soon(stated_length).await {
        return Ok(None);
    }
    let mut body = BytesMut::new();
    loop {
        match reply.next_part().await? {
            BodyPart::Data(data) => {
                let length = stated_length.max(body.len() + data.len());
                if !permit.resize_soon(length).await {
                    return Ok(None);
                }
                body.extend_from_slice(&data);
            }
            BodyPart::End(whole) => return Ok(Some((permit.attach(body.freeze()), whole))),
        }
    }
}
