//! Has another instance answer a call whose targets this one cannot reach.

use {
    crate::{
        Declined, HeaderFormat, LostAnswer, NotRun, Peer, Reason, TurnedAway,
        attempt::{Content, TargetAnswer, promises_not_run, read_whole},
        call_holder::{CallHolder, HandedOver},
        call_recorder::CallRecorder,
        event_stream::EventStream,
        held_bytes::HeldBytes,
        refusal::{NO_TARGET_RETRY_AFTER, Unanswered},
    },
    bytes::Bytes,
    http_body_util::Full,
    hyper::{
        HeaderMap, Request, StatusCode,
        header::{HeaderName, HeaderValue, RETRY_AFTER},
        http::request,
    },
    std::{
        collections::HashMap,
        sync::{Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
    target::{Client, NamedRequest, Reply, Reuse, SendError, StreamPosition},
};

/// Number of instances that are asked to answer one call.
const MAX_PEERS_COUNT: usize = 3;
/// Time for which others are preferred to an instance that did not take a call.
const REFUSAL_PAUSE: Duration = Duration::from_secs(1);
/// Time left below which a call is not passed on any more.
const MIN_TIME_LEFT: Duration = Duration::from_millis(20);
/// Part of the time left that is kept for the way back from the other instance.
const RETURN_TIME: Duration = Duration::from_millis(10);

/// Header of a call that is passed on: version of the configuration by which it was admitted.
pub(crate) const CONFIGURATION: HeaderName = HeaderName::from_static("x-rattan-configuration");

/// Passes calls on to other instances.
pub(crate) struct PeerCaller {
    client: Client,
    /// When an instance last did not take a call, by its seed.
    refused_at: Mutex<HashMap<u64, Instant>>,
}

/// A call as it is passed on.
pub(crate) struct PeerCall<'call> {
    /// Request id, which the answer must carry.
    pub(crate) id: &'call str,
    /// Head as the caller sent it.
    pub(crate) head: &'call request::Parts,
    /// Whole body.
    pub(crate) body: &'call Bytes,
    /// Version of the configuration by which the call was admitted. An instance with an older one does
    /// not take the call.
    pub(crate) configuration: u64,
    /// When the caller stops waiting.
    pub(crate) deadline: Instant,
    /// Whether a successful answer is an event stream.
    pub(crate) is_stream: bool,
    /// Where the events of a stream must go on.
    pub(crate) position: StreamPosition,
    /// Memory for an answer that is read as a whole.
    pub(crate) held_bytes: &'call HeldBytes,
}

/// How it ended that an instance was asked to answer a call. Of older builds as well, only what
/// [`NotRun`] takes for evidence shows that the call has not run.
enum PeerOutcome {
    /// It passed on a target's answer.
    Answered(Box<TargetAnswer>),
    /// It did not take the call, which has not run; after which time it may.
    NotRun(NotRun, Option<Duration>),
    /// It may have taken the call, which may have run or may run yet.
    Unknown(LostAnswer),
    /// An answer came that is not used; the same as [`PeerOutcome::Unknown`].
    TurnedAway(TurnedAway),
}

impl From<SendError> for PeerOutcome {
    fn from(error: SendError) -> Self {
        match NotRun::of_unsent(error) {
            Ok((not_run, _)) => Self::NotRun(not_run, None),
            Err(_) => Self::Unknown(LostAnswer::TargetFailed),
        }
    }
}

impl PeerCaller {
    /// Creates a caller that uses the connections of `client`.
    pub(crate) fn new(client: Client) -> Self {
        Self {
            client,
            refused_at: Mutex::default(),
        }
    }

    /// Passes a call on to one of `peers` after another until one takes it. `holder` says who has the
    /// call at any moment, also if this is dropped.
    pub(crate) async fn answer<Format>(
        &self,
        header_format: &Format,
        call: &PeerCall<'_>,
        peers: Vec<Peer>,
        holder: &mut CallHolder,
        recorder: &mut CallRecorder,
    ) -> Result<TargetAnswer, Unanswered>
    where
        Format: HeaderFormat,
    {
        let mut retry_after = NO_TARGET_RETRY_AFTER;
        for peer in self.order(peers).into_iter().take(MAX_PEERS_COUNT) {
            if call.time_left() < MIN_TIME_LEFT {
                return Err(Declined::new(Reason::TooLate).into());
            }
            recorder.line.forwarded_to.clone_from(&peer.name);
            let handed_over = holder.hand_to_instance();
            match self.send(header_format, call, &peer, handed_over).await {
                PeerOutcome::Answered(answer) => return Ok(*answer),
                PeerOutcome::NotRun(evidence, asked) => {
                    holder.take_back(evidence);
                    self.lock().insert(peer.seed, Instant::now());
                    retry_after = asked.unwrap_or(retry_after);
                }
                PeerOutcome::Unknown(lost) => return Err(Unanswered::Lost(lost)),
                PeerOutcome::TurnedAway(turned_away) => {
                    recorder.count_turned_away(turned_away);
                    return Err(Unanswered::Lost(LostAnswer::TargetFailed));
                }
            }
        }
        let declined = Declined::new(Reason::NoTarget).retry_after(retry_after);
        Err(declined.into())
    }

    /// Orders instances by chance, with those last that did not take a call lately.
    fn order(&self, mut peers: Vec<Peer>) -> Vec<Peer> {
        let mut refused_at = self.lock();
        refused_at.retain(|_, refused_at| refused_at.elapsed() < REFUSAL_PAUSE);
        peers.sort_by_cached_key(|peer| {
            (refused_at.contains_key(&peer.seed), rand::random::<u64>())
        });
        peers
    }

    async fn send<Format>(
        &self,
        header_format: &Format,
        call: &PeerCall<'_>,
        peer: &Peer,
        _: HandedOver,
    ) -> PeerOutcome
    where
        Format: HeaderFormat,
    {
        let time_left = call.time_left();
        let mut request = Request::new(Full::new(call.body.clone()));
        *request.method_mut() = call.head.method.clone();
        *request.uri_mut() = call.head.uri.clone();
        let peer_time = time_left.saturating_sub(RETURN_TIME);
        *request.headers_mut() = header_format.peer_headers(&call.head.headers, peer_time);
        let version = HeaderValue::from(call.configuration);
        request.headers_mut().insert(CONFIGURATION, version);
        let named = NamedRequest {
            request,
            id: call.id,
        };
        let sent = self
            .client
            .send_named(peer.address, named, Reuse::Allowed, time_left);
        match sent.await {
            Ok(reply) => read_answer(header_format, call, reply).await,
            Err(error) => error.into(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<u64, Instant>> {
        self.refused_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl PeerCall<'_> {
    fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

/// Reads an answer that another instance passes on from a target. What the other instance says itself
/// is not passed on, since its caller is this instance.
async fn read_answer<Format>(
    header_format: &Format,
    call: &PeerCall<'_>,
    mut reply: Reply,
) -> PeerOutcome
where
    Format: HeaderFormat,
{
    let (status, headers) = (reply.status(), reply.headers().clone());
    let connection_opened_at = reply.connection_opened_at();
    let metadata = header_format.parse_reply(&headers);
    let id = metadata.id.as_deref();
    // Targets repeat the request id. Some errors of targets bear no proof.
    let is_target_error = id == Some(call.id) && !status.is_success();
    if !metadata.has_proof && !is_target_error {
        return own_answer(reply);
    }
    if let Err(reason) = reply.check_id(id) {
        return PeerOutcome::TurnedAway(TurnedAway::Unattributed { reason });
    }
    if promises_not_run(status) {
        return PeerOutcome::TurnedAway(TurnedAway::NoWord);
    }
    let content = if call.is_stream && status.is_success() {
        match EventStream::open(reply, &call.time_left(), call.position).await {
            Ok(events) => Content::Forwarded(Box::new(events)),
            Err(error) => return error.into(),
        }
    } else {
        match read_whole(&mut reply, call.held_bytes, call.time_left()).await {
            Ok((body, whole)) => Content::Whole(body, whole),
            Err(error) => return error.into(),
        }
    };
    PeerOutcome::Answered(Box::new(TargetAnswer {
        status,
        headers,
        metadata,
        content,
        connection_opened_at,
    }))
}

/// What the other instance means by an answer of its own. Only its explicit word shows that the call
/// has not run.
///
/// The other instance may have another configuration, so its word that a route or a key is unknown is no
/// reason to refuse the call for good.
fn own_answer(mut reply: Reply) -> PeerOutcome {
    let status = reply.status();
    if status == StatusCode::GATEWAY_TIMEOUT {
        return PeerOutcome::Unknown(LostAnswer::TimedOut);
    }
    match NotRun::of_instance(&mut reply) {
        Some(not_run) => PeerOutcome::NotRun(not_run, parse_retry_after(reply.headers())),
        None if promises_not_run(status) => PeerOutcome::TurnedAway(TurnedAway::NoWord),
        None => PeerOutcome::Unknown(LostAnswer::TargetFailed),
    }
}

fn parse_retry_after(headers: &HeaderMap) -> Option<Duration> {
    let retry_after = headers.get(RETRY_AFTER)?.to_str().ok()?;
    let seconds = retry_after.parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok()
}
