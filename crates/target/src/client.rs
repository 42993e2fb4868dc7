//! Pool of HTTP/1 connections to targets, with one exchange at a time on each.

use {
    crate::{
        ClientSettings, IncarnationProbe, OpenWitness, Reply, RequestPreparation, SendError,
        StartTimeout, WitnessAhead,
        carried_ids::{CarriedIds, HashedId, IdHasher},
        connection_errors::{closed_unwritten, is_disconnect},
        exchange_progress::ExchangeProgress,
        socket_options::{connect_bounded, set_unacknowledged_timeout},
        tracked_stream::TrackedStream,
        witness_connection::Asked,
        witness_slot::{Keeping, WitnessSlots},
    },
    bytes::Bytes,
    http_body_util::Full,
    hyper::{
        Request, StatusCode,
        client::conn::http1::{self, SendRequest},
    },
    hyper_util::rt::TokioIo,
    std::{
        collections::HashMap,
        io::{self, ErrorKind},
        net::SocketAddr,
        pin::pin,
        sync::{Arc, Mutex, PoisonError},
        time::{Duration, Instant},
    },
    tokio::{
        net::TcpStream,
        time::{timeout, timeout_at},
    },
    tokio_util::{sync::CancellationToken, task::AbortOnDropHandle},
};

/// Idle connections kept for each address.
const MAX_IDLE_COUNT: usize = 64;
/// Time since the last use of an idle connection in which a running target does not end it.
const RECENT_USE_TIME: Duration = Duration::from_secs(2);
/// Longest head of an answer, and most that is read ahead of whoever reads an answer.
const READ_BUFFER_BYTES: usize = 64 << 10;
/// Longest wait for the connection beside answers before a request is sent.
const WITNESS_OPEN_TIME: Duration = Duration::from_millis(300);
/// Time for the operating system to close all sockets of a process that is killed, from the first one
/// on.
pub(crate) const PROCESS_EXIT_TIME: Duration = Duration::from_millis(20);

/// Whether a request may be sent on a connection that served an earlier one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reuse {
    /// An idle connection may be used. If a middlebox on the path has dropped the connection's
    /// state, the request times out and needs a retry.
    Allowed,
    /// Always opens a connection, so that the request can't hang on a stale one.
    Fresh,
}

/// A connection. Dropping it closes it immediately, even during an exchange.
pub(crate) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    opened: Instant,
    /// Requests that were sent on it, the present one included.
    requests_count: u32,
    /// Ids of those that have one.
    carried: CarriedIds,
    progress: Arc<ExchangeProgress>,
    end: CancellationToken,
    _driver: AbortOnDropHandle<()>,
}

impl Connection {
    /// When it was opened.
    pub(crate) fn opened(&self) -> Instant {
        self.opened
    }

    /// Token that is cancelled when it has ended.
    pub(crate) fn end_token(&self) -> CancellationToken {
        self.end.clone()
    }

    /// Time since it was opened.
    pub(crate) fn age(&self) -> Duration {
        self.opened.elapsed()
    }

    /// Requests that were sent on it before the present one.
    pub(crate) fn earlier_requests_count(&self) -> u32 {
        self.requests_count.saturating_sub(1)
    }

    /// Whether the target had sent its last byte before the request was written.
    pub(crate) fn has_ended_unwritten(&self) -> bool {
        self.progress.has_ended_unwritten()
    }

    /// Whether it may carry requests after the one that was answered.
    fn is_reusable(&self) -> bool {
        !self.sender.is_closed() && !self.carried.is_full() && self.progress.is_written()
    }

    /// Whether it may carry a request, with this id if it has one.
    fn may_carry(&self, id: Option<HashedId<'_>>) -> bool {
        id.is_none_or(|id| !self.carried.has(id))
    }
}

/// A request with the id by which its answer is known.
#[derive(Clone, Debug)]
pub struct NamedRequest<'id> {
    /// The request, which states the id in the way of its target.
    pub request: Request<Full<Bytes>>,
    /// Its id.
    pub id: &'id str,
}

struct IdleConnection {
    connection: Connection,
    idle_since: Instant,
    usable_until: Instant,
}

#[derive(Default)]
struct Pool {
    idle: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
}

/// HTTP client for targets. Clones share its connections.
#[derive(Clone)]
pub struct Client {
    settings: ClientSettings,
    pool: Arc<Pool>,
    witnesses: Arc<WitnessSlots>,
    id_hasher: Arc<IdHasher>,
}

impl Client {
    /// Creates a client without open connections.
    #[must_use]
    pub fn new(settings: ClientSettings) -> Self {
        Self {
            settings,
            pool: Arc::default(),
            witnesses: Arc::default(),
            id_hasher: Arc::default(),
        }
    }

    /// A client with the same settings that shares no connection with this one.
    #[must_use]
    pub fn with_own_connections(&self) -> Self {
        Self::new(self.settings)
    }

    /// Sends a request without an id, such as a question for a target's state. Otherwise like
    /// [`Client::send_named`].
    ///
    /// # Errors
    /// Like [`Client::send_named`].
    pub async fn send<Timeout>(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        reuse: Reuse,
        timeout: Timeout,
    ) -> Result<Reply, SendError>
    where
        Timeout: StartTimeout,
    {
        self.send_as(address, request, None, reuse, timeout, &())
            .await
    }

    /// Sends a request at most once and waits for the head of the answer until `timeout` gives up.
    ///
    /// It goes on no connection that has carried a request with its id before: a copy of the answer to that
    /// one would be taken for the answer to this one. If an idle connection turns out to be closed before
    /// any byte was written, the request goes to another connection.
    ///
    /// # Errors
    /// [`SendError::NotSent`] if no byte was sent, [`SendError::Unknown`] if the answer is missing.
    pub async fn send_named<Timeout>(
        &self,
        address: SocketAddr,
        named: NamedRequest<'_>,
        reuse: Reuse,
        timeout: Timeout,
    ) -> Result<Reply, SendError>
    where
        Timeout: StartTimeout,
    {
        self.send_prepared(address, named, reuse, timeout, &())
            .await
    }

    /// The same as [`Client::send_named`], with `preparation` for the connection on which the request goes.
    ///
    /// # Errors
    /// Like [`Client::send_named`].
    pub async fn send_prepared<Timeout, Preparation>(
        &self,
        address: SocketAddr,
        named: NamedRequest<'_>,
        reuse: Reuse,
        timeout: Timeout,
        preparation: &Preparation,
    ) -> Result<Reply, SendError>
    where
        Timeout: StartTimeout,
        Preparation: RequestPreparation,
    {
        let id = Some(self.id_hasher.hash(named.id));
        self.send_as(address, named.request, id, reuse, timeout, preparation)
            .await
    }

    async fn send_as<Timeout, Preparation>(
        &self,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
        id: Option<HashedId<'_>>,
        reuse: Reuse,
        timeout: Timeout,
        preparation: &Preparation,
    ) -> Result<Reply, SendError>
    where
        Timeout: StartTimeout,
        Preparation: RequestPreparation,
    {
        if reuse == Reuse::Allowed {
            while let Some(mut connection) = self.take_idle(address, id) {
                if !self.is_ready(&mut connection).await {
                    continue;
                }
                preparation.prepare(connection.opened()).await;
                let exchange = self.exchange(address, connection, request, id, &timeout);
                match exchange.await {
                    Exchange::Done(result) => return result,
                    Exchange::Unsent(unsent) => request = unsent,
                }
            }
        }
        let connection = self.connect(address).await?;
        preparation.prepare(connection.opened()).await;
        let exchange = self.exchange(address, connection, request, id, &timeout);
        match exchange.await {
            Exchange::Done(result) => result,
            Exchange::Unsent(_) => Err(closed_unwritten(address)),
        }
    }

    /// Has a connection open to the target at `address`, on which `probe` has asked it which process it is, and
    /// asks again once the answer to the next request has ended. There is one for each address; it is kept while
    /// there are calls. Waits 300 ms at most.
    pub async fn open_witness(
        &self,
        address: SocketAddr,
        probe: &IncarnationProbe,
    ) -> WitnessAhead {
        let slot = self.witnesses.at(address, self);
        if slot.is_left_alone() {
            return WitnessAhead::NotNeeded;
        }
        let deadline = Instant::now() + WITNESS_OPEN_TIME;
        let opening = {
            let (slot, probe) = (Arc::clone(&slot), probe.clone());
            // It goes on for other calls.
            tokio::spawn(async move { slot.open_recent(&probe).await })
        };
        let opened = timeout_at(deadline.into(), opening).await;
        let opened = opened.map_or_else(|_| slot.open_now(), |opened| opened.ok().flatten());
        let Some(mut connection) = opened else {
            return WitnessAhead::Failed;
        };
        if connection.proven_at().is_none() && slot.keeping() != Keeping::Ended {
            let proving = connection.ask(&slot, probe, connection.opened());
            // The question goes on.
            let proven = timeout_at(deadline.into(), proving).await;
            if let Ok(Asked::Failed(_)) = proven
                && let Ok(Some(other)) = timeout_at(deadline.into(), slot.open()).await
            {
                connection = other;
            }
        }
        WitnessAhead::Open(OpenWitness::new(slot, connection, probe.clone()))
    }

    /// Closes the idle connections to `address`, for example after one of them timed out.
    pub fn close_idle(&self, address: SocketAddr) {
        self.lock_idle().remove(&address);
    }

    /// Whether the target at `address` has ended an idle connection that was in use shortly before, so
    /// that its process may have ended.
    #[must_use]
    pub fn has_lost_idle(&self, address: SocketAddr) -> bool {
        let idle = self.lock_idle();
        let mut connections = idle.get(&address).into_iter().flatten();
        connections.any(|it| {
            let is_recent = it.idle_since.elapsed() < RECENT_USE_TIME;
            is_recent && it.connection.sender.is_closed() && Instant::now() < it.usable_until
        })
    }

    /// Keeps a connection for reuse until the idle timeout, or for half the time that the target
    /// keeps it if that is shorter.
    pub(crate) fn put_idle(
        &self,
        address: SocketAddr,
        connection: Connection,
        keep_alive: Option<Duration>,
    ) {
        if !connection.is_reusable() {
            return;
        }
        let idle_time = keep_alive.map_or(self.settings.idle_timeout, |keep_alive| {
            self.settings.idle_timeout.min(keep_alive / 2)
        });
        let mut idle = self.lock_idle();
        let connections = idle.entry(address).or_default();
        if connections.len() < MAX_IDLE_COUNT {
            connections.push(IdleConnection {
                connection,
                idle_since: Instant::now(),
                usable_until: Instant::now() + idle_time,
            });
        }
    }

    /// Takes the idle connection that was used last and may carry a request, with this id if it has one.
    pub(crate) fn take_idle(
        &self,
        address: SocketAddr,
        id: Option<HashedId<'_>>,
    ) -> Option<Connection> {
        let mut idle = self.lock_idle();
        let connections = idle.get_mut(&address)?;
        let now = Instant::now();
        connections.retain(|it| now < it.usable_until && !it.connection.sender.is_closed());
        let usable = connections
            .iter()
            .rposition(|it| it.connection.may_carry(id))?;
        Some(connections.remove(usable).connection)
    }

    /// Waits until the connection can take a request; false if it is closed or takes too long.
    pub(crate) async fn is_ready(&self, connection: &mut Connection) -> bool {
        timeout(self.settings.connect_timeout, connection.sender.ready())
            .await
            .is_ok_and(|ready| ready.is_ok())
    }

    pub(crate) async fn connect(&self, address: SocketAddr) -> Result<Connection, SendError> {
        let not_sent = |error: io::Error| SendError::NotSent {
            address,
            reason: error.to_string(),
        };
        let stream = self.open(address).await.map_err(not_sent)?;
        self.begin(stream).await.map_err(not_sent)
    }

    /// Opens a connection, which carries nothing yet.
    pub(crate) async fn open(&self, address: SocketAddr) -> io::Result<TcpStream> {
        timeout(self.settings.connect_timeout, connect_bounded(address))
            .await
            .unwrap_or_else(|_| {
                let reason = "connecting timed out";
                Err(io::Error::new(ErrorKind::TimedOut, reason))
            })
    }

    /// Prepares an open connection for requests.
    pub(crate) async fn begin(&self, stream: TcpStream) -> io::Result<Connection> {
        // Without TCP_NODELAY, requests only take longer.
        let _ = stream.set_nodelay(true);
        if let Some(limit) = self.settings.unacknowledged_timeout {
            set_unacknowledged_timeout(&stream, limit)?;
        }
        let progress = Arc::<ExchangeProgress>::default();
        let stream = TrackedStream::new(stream, Arc::clone(&progress));
        let (sender, driver) = http1::Builder::new()
            .max_buf_size(READ_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        let end = CancellationToken::new();
        let is_driven = end.clone().drop_guard();
        let driver = tokio::spawn(async move {
            // An error is an end like any other.
            let _ = driver.await;
            drop(is_driven);
        });
        Ok(Connection {
            sender,
            opened: Instant::now(),
            requests_count: 0,
            carried: CarriedIds::default(),
            progress,
            end,
            _driver: AbortOnDropHandle::new(driver),
        })
    }

    pub(crate) async fn exchange<Timeout>(
        &self,
        address: SocketAddr,
        mut connection: Connection,
        request: Request<Full<Bytes>>,
        id: Option<HashedId<'_>>,
        start_timeout: &Timeout,
    ) -> Exchange
    where
        Timeout: StartTimeout,
    {
        let unknown = |reason, disconnected| {
            Exchange::Done(Err(SendError::Unknown {
                address,
                reason,
                disconnected,
            }))
        };
        let carried = match id.map(|id| connection.carried.carry(id)) {
            Some(None) => return Exchange::Unsent(request),
            Some(carried) => carried,
            None => None,
        };
        let started = Instant::now();
        start_timeout.start();
        connection.requests_count += 1;
        connection.progress.record_request();
        let mut sending = pin!(connection.sender.try_send_request(request));
        let sent = loop {
            match timeout(start_timeout.duration(), sending.as_mut()).await {
                Ok(sent) => break sent,
                Err(_) if start_timeout.gives_up() => {
                    let reason = format!("no first byte in {} ms", started.elapsed().as_millis());
                    return unknown(reason, false);
                }
                Err(_) => {}
            }
        };
        match sent {
            Ok(response) if !is_answer(response.status()) => {
                let status = response.status().as_u16();
                unknown(format!("it sent the invalid status {status}"), false)
            }
            Ok(response) => {
                connection.progress.record_head();
                let reply = Reply::new(
                    self.clone(),
                    address,
                    connection,
                    carried,
                    started,
                    response,
                );
                Exchange::Done(Ok(reply))
            }
            Err(mut failure) => match failure.take_message() {
                Some(unsent) => Exchange::Unsent(unsent),
                None => unknown(failure.error().to_string(), is_disconnect(failure.error())),
            },
        }
    }

    pub(crate) fn witnesses(&self) -> &Arc<WitnessSlots> {
        &self.witnesses
    }

    pub(crate) fn idle_timeout(&self) -> Duration {
        self.settings.idle_timeout
    }

    fn lock_idle(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Vec<IdleConnection>>> {
        self.pool
            .idle
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Whether an answer can have this status: no upgrade was asked for, and no others are defined.
fn is_answer(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Result of sending a request on one connection.
pub(crate) enum Exchange {
    /// The request was answered, or may have been sent.
    Done(Result<Reply, SendError>),
    /// No byte of the request was written; it can be sent on another connection.
    Unsent(Request<Full<Bytes>>),
}
