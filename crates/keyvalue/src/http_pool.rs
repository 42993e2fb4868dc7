//! Connections to one address, kept for reuse.

use {
    crate::KvError,
    bytes::Bytes,
    http_body_util::{BodyExt, Full, Limited},
    hyper::{
        Request, Response, StatusCode,
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

/// Longest answer that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;
/// Connections unused for longer are closed, since a path in between may have forgotten them.
const MAX_IDLE_TIME: Duration = Duration::from_secs(10);
/// Connections kept for reuse.
const MAX_IDLE_COUNT: usize = 32;

/// Why a call has no answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallError {
    /// No byte of it left.
    NotSent(String),
    /// It may have arrived.
    NoAnswer(String),
}

impl CallError {
    /// What it means for a call to the key-value service.
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

/// A whole answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HttpResponse {
    /// Status line.
    pub status: StatusCode,
    /// Body.
    pub body: Bytes,
}

/// One connection; dropping it closes it.
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

/// Connections to one address. A call is sent at most once.
#[derive(Debug)]
pub struct HttpPool {
    address: SocketAddr,
    idle: Mutex<Vec<Connection>>,
}

impl HttpPool {
    /// A pool without connections.
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

    /// Sends a call, at most once, and reads its whole answer, all within `timeout`.
    ///
    /// # Errors
    /// [`CallError`] without a whole answer.
    pub async fn call_with_timeout(
        &self,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<HttpResponse, CallError> {
        let deadline = Instant::now() + timeout;
        self.call(request, deadline, deadline).await
    }

    /// Sends a call and reads its whole answer.
    ///
    /// # Errors
    /// [`CallError`] without a whole answer.
    pub async fn call(
        &self,
        request: Request<Full<Bytes>>,
        connect_by: Instant,
        deadline: Instant,
    ) -> Result<HttpResponse, CallError> {
        let (response, connection) = self.send(request, connect_by, deadline).await?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES).collect();
        match timeout_at(deadline, body).await {
            Ok(Ok(body)) => {
                self.put_idle(connection);
                let body = body.to_bytes();
                Ok(HttpResponse { status, body })
            }
            Ok(Err(error)) => Err(CallError::NoAnswer(error.to_string())),
            Err(_) => Err(self.timed_out()),
        }
    }

    /// Sends a call and gives the answer's head, with the connection that its body comes on.
    ///
    /// # Errors
    /// [`CallError`] without an answer.
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
                return Err(self.timed_out());
            };
            let mut error = match result {
                Ok(response) => return Ok((response, connection)),
                Err(error) => error,
            };
            // Only a request that was handed back unwritten may go out on another connection.
            match error.take_message() {
                Some(unwritten) if Instant::now() < connect_by => request = unwritten,
                Some(_) => return Err(CallError::NotSent(error.into_error().to_string())),
                None => return Err(CallError::NoAnswer(error.into_error().to_string())),
            }
        }
    }

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

    /// A connection that went silent makes the others suspect: the next call opens a fresh one.
    fn timed_out(&self) -> CallError {
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
