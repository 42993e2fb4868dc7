//! Connection and circuit breaker of one peer.

use {
    crate::{CircuitBreaker, PeerError, PeerKeys, TrafficCounters, connection::Connection},
    std::{
        io,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
    tokio::{sync, time},
};

/// Timeout of opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Slot of the pool for one peer: its connection, if open, and its circuit breaker.
#[derive(Debug, Default)]
pub(crate) struct PeerSlot {
    connection: sync::Mutex<Option<Arc<Connection>>>,
    breaker: Mutex<CircuitBreaker>,
}

impl PeerSlot {
    /// Checks whether the peer may be called now; the error is the time to wait.
    pub(crate) fn allow(&self) -> Result<(), Duration> {
        self.breaker().allow(Instant::now())
    }

    /// Records the outcome of a call in the circuit breaker.
    pub(crate) fn record_outcome(&self, succeeded: bool) {
        let mut breaker = self.breaker();
        if succeeded {
            breaker.record_success();
        } else {
            breaker.record_failure(Instant::now(), rand::random());
        }
    }

    pub(crate) async fn pooled_connection(&self) -> Option<Arc<Connection>> {
        self.connection.lock().await.clone()
    }

    /// Returns the pooled connection and opens one if there is none. Opening continues if the
    /// caller stops waiting, so that the next call finds the connection open.
    pub(crate) async fn get_or_connect(
        self: &Arc<Self>,
        peer: SocketAddr,
        keys: &PeerKeys,
        traffic: &Arc<TrafficCounters>,
    ) -> Result<Arc<Connection>, PeerError> {
        let (slot, keys, traffic) = (self.clone(), keys.clone(), traffic.clone());
        let opening = tokio::spawn(async move { slot.open(peer, &keys, traffic).await });
        match opening.await {
            Ok(opened) => opened,
            Err(error) => Err(PeerError::Connect {
                peer,
                source: io::Error::other(error),
            }),
        }
    }

    /// Removes a connection from the pool, unless it was already replaced.
    pub(crate) async fn discard(&self, connection: &Arc<Connection>) {
        let mut pooled = self.connection.lock().await;
        if pooled
            .as_ref()
            .is_some_and(|pooled| Arc::ptr_eq(pooled, connection))
        {
            *pooled = None;
        }
    }

    /// Closes the connection if it was unused for `idle`. Returns whether the slot can be removed,
    /// because it has neither a connection nor recorded failures.
    pub(crate) async fn close_idle(&self, idle: Duration) -> bool {
        let mut pooled = self.connection.lock().await;
        if pooled
            .as_ref()
            .is_some_and(|pooled| pooled.idle_time() >= idle)
        {
            *pooled = None;
        }
        pooled.is_none() && self.breaker().is_closed()
    }

    async fn open(
        &self,
        peer: SocketAddr,
        keys: &PeerKeys,
        traffic: Arc<TrafficCounters>,
    ) -> Result<Arc<Connection>, PeerError> {
        let mut pooled = self.connection.lock().await;
        if let Some(connection) = pooled.as_ref() {
            return Ok(connection.clone());
        }
        let opening = Connection::open(peer, keys, traffic);
        let opened = match time::timeout(CONNECT_TIMEOUT, opening).await {
            Ok(opened) => Arc::new(opened?),
            Err(_) => {
                return Err(PeerError::Timeout {
                    peer,
                    timeout: CONNECT_TIMEOUT,
                });
            }
        };
        *pooled = Some(opened.clone());
        Ok(opened)
    }

    fn breaker(&self) -> MutexGuard<'_, CircuitBreaker> {
        self.breaker.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
