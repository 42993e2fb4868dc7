//! Pool of HTTP/1 connections to one address.

use {
    crate::KvError,
    bytes::Bytes,
    http_body_util::{BodyExt, Full, Limited},
    hyper::{
        HeaderMap, Request, Response, StatusCode,
        body::Incoming,
        client::conn::http1::{self, SendRequest},
    },
    hyper_util::rt::TokioIo,
    std::{
        net::SocketAddr,
        sync::{Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::{
        net::TcpStream,
        task::JoinHandle,
        time::{Instant, timeout_at},
    },
};

/// Largest response body that is read.
const MAX_BODY_BYTES: usize = 64 << 20;
/// Connections that were idle for longer are closed: a middlebox on the path may have dropped its
/// state for them, and calls on them would get no response.
const MAX_IDLE_TIME: Duration = Duration::from_secs(10);
/// Idle connections kept for reuse.
const MAX_IDLE_COUNT: usize = 32;

/// Why a call has no response, and whether it may have arrived.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallError {
    /// No byte of the call was sent.
    NotSent(String),
    /// The call may have arrived, but its response is missing or incomplete.
    NoAnswer(String),
}

impl CallError {
    /// Converts the error of a call to the key-value service at `endpoint`.
    #[must_use]
    pub fn into_kv_error(self, endpoint: SocketAddr) -> KvError {
        match self {
            Self::NoAnswer(reason) => KvError::Unknown { reason },
            Self::NotSent(reason) => KvError::Unreachable {
                endpoint: endpoint.to_string(),
                reason,
            },
        }
    }
}

/// A complete HTTP response.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HttpResponse {
    /// Status code.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

/// A connection that closes when dropped.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
    last_used_at: Instant,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Pool of connections to one address. Each call is sent at most once.
#[derive(Debug)]
pub struct HttpPool {
    address: SocketAddr,
    idle: Mutex<Vec<Connection>>,
}

impl HttpPool {
    /// Creates a pool without open connections.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: Mutex::default(),
        }
    }

    /// Address that the pool connects to.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request at most once and reads its complete response, all within `timeout`.
    ///
    /// # Errors
    /// [`CallError`] if no complete response arrives in time.
    pub async fn call_with_timeout(
        &self,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<HttpResponse, CallError> {
        let deadline = Instant::now() + timeout;
        self.call(request, deadline, deadline).await
    }

    /// Sends a request at most once, on a connection that is ready by `connect_by`, and reads its
    /// complete response by `deadline`.
    ///
    /// # Errors
    /// [`CallError`] if no complete response arrives in time.
    pub async fn call(
        &self,
        request: Request<Full<Bytes>>,
        connect_by: Instant,
        deadline: Instant,
    ) -> Result<HttpResponse, CallError> {
        let (response, connection) = self.send(request, connect_by, deadline).await?;
        let (head, body) = response.into_parts();
        let body = Limited::new(body, MAX_BODY_BYTES).collect();
        match timeout_at(deadline, body).await {
            Ok(Ok(body)) => {
                self.put_idle(connection);
                Ok(HttpResponse {
                    status: head.status,
                    headers: head.headers,
                    body: body.to_bytes(),
                })
            }
            Ok(Err(error)) => Err(CallError::NoAnswer(error.to_string())),
            Err(_) => Err(self.on_timeout()),
        }
    }

    /// Sends a request at most once, on a connection that is ready by `connect_by`, and waits for
    /// the head of its response until `deadline`. The returned connection must be kept while the
    /// body is read.
    ///
    /// # Errors
    /// [`CallError`] if no response head arrives in time.
    pub async fn send(
        &self,
        mut request: Request<Full<Bytes>>,
        connect_by: Instant,
        deadline: Instant,
    ) -> Result<(Response<Incoming>, Connection), CallError> {
        loop {
            let mut connection = self.ready_connection(connect_by).await?;
            let sent = connection.sender.try_send_request(request);
            let Ok(result) = timeout_at(deadline, sent).await else {
                return Err(self.on_timeout());
            };
            let mut error = match result {
                Ok(response) => return Ok((response, connection)),
                Err(error) => error,
            };
            // Only a request that hyper returns unwritten may be sent on another connection.
            match error.take_message() {
                Some(unwritten) if Instant::now() < connect_by => request = unwritten,
                Some(_) => return Err(CallError::NotSent(error.into_error().to_string())),
                None => return Err(CallError::NoAnswer(error.into_error().to_string())),
            }
        }
    }

    /// Returns an idle connection that is still usable, or opens one.
    async fn ready_connection(&self, connect_by: Instant) -> Result<Connection, CallError> {
        while let Some(mut connection) = self.take_idle() {
            let ready = timeout_at(connect_by, connection.sender.ready()).await;
            if matches!(ready, Ok(Ok(()))) {
                return Ok(connection);
            }
        }
        match timeout_at(connect_by, connect(self.address)).await {
            Ok(connected) => connected,
            Err(_) => Err(CallError::NotSent("connecting timed out".to_owned())),
        }
    }

    fn take_idle(&self) -> Option<Connection> {
        let mut idle = self.lock();
        idle.retain(|connection| {
            !connection.sender.is_closed() && connection.last_used_at.elapsed() < MAX_IDLE_TIME
        });
        idle.pop()
    }

    fn put_idle(&self, mut connection: Connection) {
        connection.last_used_at = Instant::now();
        let mut idle = self.lock();
        if idle.len() < MAX_IDLE_COUNT && !connection.sender.is_closed() {
            idle.push(connection);
        }
    }

    /// Closes all idle connections after a timeout, since they may hang as well. The next call
    /// opens a new one.
    fn on_timeout(&self) -> CallError {
        self.lock().clear();
        CallError::NoAnswer("timed out".to_owned())
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Connection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn connect(address: SocketAddr) -> Result<Connection, CallError> {
    let stream = TcpStream::connect(address).await.map_err(not_sent)?;
    stream.set_nodelay(true).map_err(not_sent)?;
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (sender, driver) = handshake.map_err(not_sent)?;
    let driver = tokio::spawn(async move {
        let _ = driver.await;
    });
    Ok(Connection {
        sender,
        driver,
        last_used_at: Instant::now(),
    })
}

fn not_sent<Error>(error: Error) -> CallError
where
    Error: std::error::Error,
{
    CallError::NotSent(error.to_string())
}
