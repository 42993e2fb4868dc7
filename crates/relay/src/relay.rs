//! Takes calls and answers them.

use {
    crate::{
        Answer, AnswerCutoff, HeaderFormat, Reason, Refusal, TruncatedAnswer, View,
        admit::{Admitted, admit},
        answer::{refused, streamed, whole},
        answer_times::AnswerTimes,
        attempt::Content,
        passing::{Ended, Passing},
        retries::Retries,
        run::Job,
        trail::{Trail, millis},
    },
    arc_swap::ArcSwap,
    balance::{PeerLoads, RetryBounds},
    bytes::Bytes,
    catalog::FailureDomainId,
    eventlog::EventLog,
    futures::{Stream, stream},
    http_body_util::{BodyExt, LengthLimitError, Limited},
    hyper::{
        Request,
        body::{Body, Frame, Incoming},
        http::request,
    },
    meters::Meters,
    parts::PartDirectory,
    std::{
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
    target::Client,
    tokio::{
        sync::{OwnedSemaphorePermit, Semaphore},
        time::timeout,
    },
};

/// How calls are relayed.
#[derive(Clone, Debug, PartialEq)]
pub struct RelaySettings {
    /// Failure domain of this instance.
    pub failure_domain: FailureDomainId,
    /// Bounds on repeated arrivals at the targets of a pool, over all instances.
    pub retry_bounds: RetryBounds,
    /// Weights older than the wanted ones are not used from this age of the wish on.
    pub stale_weights_grace: Duration,
    /// Bytes of bodies that may be held at once.
    pub max_buffered_bytes: usize,
}

impl Default for RelaySettings {
    fn default() -> Self {
        Self {
            failure_domain: FailureDomainId::default(),
            retry_bounds: RetryBounds::default(),
            stale_weights_grace: Duration::from_secs(7),
            max_buffered_bytes: 32 << 20,
        }
    }
}

/// What a relay's decisions follow. Clones share everything.
#[derive(Clone, Debug, Default)]
pub struct RelayState {
    /// What the instance believes.
    pub view: Arc<ArcSwap<View>>,
    /// What stores and engines hold.
    pub cache_index: Arc<Mutex<PartDirectory>>,
    /// What other instances have under way.
    pub peer_loads: Arc<Mutex<PeerLoads>>,
    /// The end of this instance's answers.
    pub answer_cutoff: AnswerCutoff,
}

impl RelayState {
    /// The view in force.
    #[must_use]
    pub fn view(&self) -> Arc<View> {
        self.view.load_full()
    }

    /// What stores and engines hold. Held for a few steps only, never across a wait.
    pub fn cache_index(&self) -> MutexGuard<'_, PartDirectory> {
        self.cache_index
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// What other instances have under way. Held for a few steps only, never across a wait, and
    /// after `keeping` where both are.
    pub fn peer_loads(&self) -> MutexGuard<'_, PeerLoads> {
        let peer_loads = self.peer_loads.lock();
        peer_loads.unwrap_or_else(PoisonError::into_inner)
    }
}

/// Takes calls, chooses targets and passes answers on. Clones share everything.
#[derive(Clone)]
pub struct Relay<Format> {
    pub(crate) inner: Arc<Inner<Format>>,
}

pub(crate) struct Inner<Format> {
    pub(crate) settings: RelaySettings,
    pub(crate) wire: Format,
    pub(crate) client: Client,
    pub(crate) followed: RelayState,
    pub(crate) retries: Retries,
    pub(crate) answer_times: AnswerTimes,
    pub(crate) origin: Instant,
    held: Arc<Semaphore>,
    pub(crate) log: EventLog,
    meters: Meters,
}

impl<Format> Relay<Format>
where
    Format: HeaderFormat,
{
    /// A relay whose decisions follow `followed`.
    #[must_use]
    pub fn new(
        settings: RelaySettings,
        wire: Format,
        client: Client,
        followed: RelayState,
        log: EventLog,
        meters: Meters,
    ) -> Self {
        let held = Arc::new(Semaphore::new(
            settings.max_buffered_bytes / HELD_UNIT_BYTES,
        ));
        let retries = Retries::new(settings.retry_bounds);
        Self {
            inner: Arc::new(Inner {
                settings,
                wire,
                client,
                followed,
                retries,
                answer_times: AnswerTimes::new(),
                origin: Instant::now(),
                held,
                log,
                meters,
            }),
        }
    }

    /// The view in force.
    #[must_use]
    pub fn view(&self) -> Arc<View> {
        self.inner.followed.view()
    }

    /// Answers one call. Dropping the future, or the answer's body, ends the call at its target.
    pub async fn serve(
        &self,
        request: Request<Incoming>,
    ) -> Answer<impl Stream<Item = Result<Frame<Bytes>, TruncatedAnswer>> + use<Format>> {
        let arrived = Instant::now();
        let (log, meters) = (self.inner.log.clone(), self.inner.meters.clone());
        let times = self.inner.answer_times.clone();
        let closing = self.inner.followed.answer_cutoff.clone();
        let mut trail = Trail::new(log, meters, times, closing.clone(), arrived);
        let (head, body) = request.into_parts();
        let accepted = tokio::select! {
            biased;
            accepted = self.accept(&mut trail, arrived, head, body) => accepted,
            () = closing.triggered() => Err(Reason::ShuttingDown.into()),
        };
        let mut job = match accepted {
            Ok(job) => job,
            Err(refusal) => return refuse(trail, &refusal),
        };
        let answered = tokio::select! {
            biased;
            answered = job.run(&mut trail, None) => answered,
            () = closing.triggered() => Err(job.cut()),
        };
        let answer = match answered {
            Ok(answer) => answer,
            Err(refusal) => return refuse(trail, &refusal),
        };
        let headers = self.inner.wire.caller_headers(&answer.headers);
        let status = answer.status;
        trail.first_byte();
        match answer.content {
            Content::Whole(body) => {
                trail.end("answered", status.as_u16(), "");
                whole(status, headers, body)
            }
            Content::Events(events) => {
                trail.line.status = status.as_u16();
                let passing = Passing::new(job, *events, trail);
                let frames = stream::unfold(Some(passing), |passing| async move {
                    let mut passing = passing?;
                    match passing.next().await {
                        Ok(Some(event)) => Some((Ok(Frame::data(event)), Some(passing))),
                        Ok(None) => None,
                        Err(Ended) => Some((Err(TruncatedAnswer), None)),
                    }
                });
                streamed(status, headers, frames)
            }
        }
    }

    /// Room for the body of a call, until the call has ended.
    fn hold(&self, admitted: &Admitted, body: &Incoming) -> Result<OwnedSemaphorePermit, Refusal> {
        let max_bytes = admitted.table.config().limits.max_body_bytes;
        let stated = body.size_hint().exact();
        let stated = stated.map(|length| usize::try_from(length).unwrap_or(usize::MAX));
        if stated.is_some_and(|length| length > max_bytes) {
            return Err(Reason::BodyTooLong.into());
        }
        self.room(stated.unwrap_or(UNSTATED_BODY_BYTES.min(max_bytes)))
    }

    fn room(&self, length: usize) -> Result<OwnedSemaphorePermit, Refusal> {
        let room = self.inner.held.clone();
        let room = room.try_acquire_many_owned(held_units(length));
        room.map_err(|_| Refusal::new(Reason::NoRoom).retry_after(HELD_RETRY))
    }

    /// Fits the room that was reckoned for a body to its length.
    fn fit(&self, room: &mut OwnedSemaphorePermit, length: usize) -> Result<(), Refusal> {
        let units = held_units(length) as usize;
        let reckoned = room.num_permits();
        if units > reckoned {
            let more = (units - reckoned) * HELD_UNIT_BYTES - 1;
            room.merge(self.room(more)?);
        }
        drop(room.split(reckoned.saturating_sub(units)));
        Ok(())
    }

    /// Checks a call's head and reads its body.
    async fn accept(
        &self,
        trail: &mut Trail,
        arrived: Instant,
        head: request::Parts,
        body: Incoming,
    ) -> Result<Job<Format>, Refusal> {
        let view = self.view();
        trail.line.configuration = view.configuration_version();
        trail.line.view_age_ms = millis(view.age());
        trail.line.instances_count = view.instances_count;
        let call = self.inner.wire.parse_call(&head).map_err(|bad| {
            log::info!("call refused: {bad}");
            Refusal::new(Reason::BadHead)
        })?;
        trail.line.request_id.clone_from(&call.id);
        let admitted = admit(&view, &head, call)?;
        trail.line.route.clone_from(&admitted.route.name);
        if let Some(account) = &admitted.account {
            trail.line.account.clone_from(&account.name);
        }
        let mut room = self.hold(&admitted, &body)?;
        let body = read_body(&admitted, body).await?;
        self.fit(&mut room, body.len())?;
        let job = Job::new(self.inner.clone(), admitted, head, body, room, arrived);
        trail.line.time_limit_ms = millis(job.time_limit());
        Ok(job)
    }
}

/// Unit in which held bodies are counted, in bytes.
const HELD_UNIT_BYTES: usize = 1 << 10;
/// Reckoned length of a body that does not state its own, in bytes.
const UNSTATED_BODY_BYTES: usize = 256 << 10;
/// When to come back if too many bodies are held.
const HELD_RETRY: Duration = Duration::from_millis(500);

/// Units that a body of `length` bytes takes of the room for bodies.
fn held_units(length: usize) -> u32 {
    u32::try_from(length / HELD_UNIT_BYTES + 1).unwrap_or(u32::MAX)
}

async fn read_body(admitted: &Admitted, body: Incoming) -> Result<Bytes, Refusal> {
    let limits = admitted.table.config().limits;
    let bound = admitted
        .call
        .time_limit
        .unwrap_or(admitted.route.time_limit);
    let reading = Limited::new(body, limits.max_body_bytes).collect();
    match timeout(bound, reading).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Reason::BodyTooLong.into()),
        Ok(Err(_)) | Err(_) => Err(Reason::BodyIncomplete.into()),
    }
}

fn refuse<Events>(mut trail: Trail, refusal: &Refusal) -> Answer<Events>
where
    Events: Stream<Item = Result<Frame<Bytes>, TruncatedAnswer>>,
{
    let outcome = match refusal.reason {
        Reason::Cut => "cut",
        reason if reason.promises_not_run() => "refused",
        _ => "failed",
    };
    trail.first_byte();
    trail.end(
        outcome,
        refusal.reason.status().as_u16(),
        refusal.reason.message(),
    );
    refused(refusal)
}
