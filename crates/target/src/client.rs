//! HTTP/1 connections to targets, one exchange at a time on each.

use {
    crate::{Reply, SendError, error},
    bytes::Bytes,
    http_body_util::Full,
    hyper::{
        Request,
        body::Incoming,
        client::conn::http1::{self, SendRequest},
    },
    hyper_util::rt::TokioIo,
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError},
        time::{Duration, Instant},
    },
    tokio::{net::TcpStream, time::timeout},
};

/// Idle connections kept for one address.
const MAX_IDLE_COUNT: usize = 64;

/// Bounds on connections.
#[derive(Clone, Copy, Debug)]
pub struct ClientSettings {
    /// Longest time to open a connection.
    pub connect: Duration,
    /// Longest time a connection may stay unused and still be used again. Shorter values find
    /// connections that something in between has forgotten sooner.
    pub idle: Duration,
}

impl Default for ClientSettings {
    fn default() -> Self {
        Self {
            connect: Duration::from_millis(500),
            idle: Duration::from_secs(2),
        }
    }
}

impl ClientSettings {
    /// Sets the longest time to open a connection.
    #[must_use]
    pub fn connect(mut self, connect: Duration) -> Self {
        self.connect = connect;
        self
    }

    /// Sets the longest time a connection may stay unused.
    #[must_use]
    pub fn idle(mut self, idle: Duration) -> Self {
        self.idle = idle;
        self
    }
}

/// Whether an exchange may use a connection that served an earlier one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reuse {
    /// A kept connection will do; its silence costs a timeout and a second try.
    Allowed,
    /// Always opens a connection, so that a forgotten one is never met.
    Fresh,
}

pub(crate) type Sender = SendRequest<Full<Bytes>>;

struct Idle {
    sender: Sender,
    since: Instant,
}

#[derive(Default)]
struct Pool {
    idle: Mutex<HashMap<SocketAddr, Vec<Idle>>>,
}

/// Connections to targets. Clones share them.
#[derive(Clone)]
pub struct Client {
    settings: ClientSettings,
    pool: Arc<Pool>,
}

impl Client {
    /// A client without open connections.
    #[must_use]
    pub fn new(settings: ClientSettings) -> Self {
        Self {
            settings,
            pool: Arc::default(),
        }
    }

    /// Sends `request` and waits up to `first_byte` for the head of the answer.
    ///
    /// The request is sent at most once. A kept connection that turns out closed before any byte
    /// was written is replaced by a new one.
    ///
    /// # Errors
    /// [`SendError::NotSent`] if no byte left, [`SendError::Unknown`] if the answer is missing.
    pub async fn send(
        &self,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
        reuse: Reuse,
        first_byte: Duration,
    ) -> Result<Reply, SendError> {
        if reuse == Reuse::Allowed {
            while let Some(mut sender) = self.take_idle(address) {
                if !self.is_usable(&mut sender).await {
                    continue;
                }
                match self.exchange(address, sender, request, first_byte).await {
                    Exchange::Done(result) => return result,
                    Exchange::Unsent(unsent) => request = unsent,
                }
            }
        }
        let sender = self.connect(address).await?;
        match self.exchange(address, sender, request, first_byte).await {
            Exchange::Done(result) => result,
            Exchange::Unsent(_) => error::NotSentSnafu {
                address,
                reason: "connection closed before the request was written",
            }
            .fail(),
        }
    }

    /// Drops the idle connections to `address`, for example after one of them went silent.
    pub fn forget(&self, address: SocketAddr) {
        self.lock_idle().remove(&address);
    }

    pub(crate) fn put_idle(&self, address: SocketAddr, sender: Sender) {
        if sender.is_closed() {
            return;
        }
        let mut idle = self.lock_idle();
        let connections = idle.entry(address).or_default();
        if connections.len() < MAX_IDLE_COUNT {
            connections.push(Idle {
                sender,
                since: Instant::now(),
            });
        }
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Sender> {
        let mut idle = self.lock_idle();
        let connections = idle.get_mut(&address)?;
        while let Some(connection) = connections.pop() {
            let fresh = connection.since.elapsed() < self.settings.idle;
            if fresh && !connection.sender.is_closed() {
                return Some(connection.sender);
            }
        }
        None
    }

    /// Waits until the connection has finished with its last exchange.
    async fn is_usable(&self, sender: &mut Sender) -> bool {
        timeout(self.settings.connect, sender.ready())
            .await
            .is_ok_and(|ready| ready.is_ok())
    }

    async fn connect(&self, address: SocketAddr) -> Result<Sender, SendError> {
        let not_sent = |reason: String| SendError::NotSent { address, reason };
        let stream = timeout(self.settings.connect, TcpStream::connect(address))
            .await
            .map_err(|_| not_sent("connecting timed out".to_owned()))?
            .map_err(|error| not_sent(error.to_string()))?;
        // A failure here only costs latency.
        let _ = stream.set_nodelay(true);
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| not_sent(error.to_string()))?;
        tokio::spawn(connection);
        Ok(sender)
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        mut sender: Sender,
        request: Request<Full<Bytes>>,
        first_byte: Duration,
    ) -> Exchange {
        let unknown = |reason: String| Exchange::Done(Err(SendError::Unknown { address, reason }));
        match timeout(first_byte, sender.try_send_request(request)).await {
            Ok(Ok(response)) => Exchange::Done(Ok(self.reply(address, sender, response))),
            Ok(Err(mut failure)) => match failure.take_message() {
                Some(unsent) => Exchange::Unsent(unsent),
                None => unknown(failure.error().to_string()),
            },
            Err(_) => unknown(format!("no first byte in {} ms", first_byte.as_millis())),
        }
    }

    fn reply(
        &self,
        address: SocketAddr,
        sender: Sender,
        response: hyper::Response<Incoming>,
    ) -> Reply {
        Reply::new(self.clone(), address, sender, response)
    }

    fn lock_idle(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Vec<Idle>>> {
        self.pool
            .idle
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

enum Exchange {
    Done(Result<Reply, SendError>),
    Unsent(Request<Full<Bytes>>),
}
