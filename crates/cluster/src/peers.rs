//! Calls to other entry instances.

use {
    crate::{
        CatalogCopy, DirectoryAnswer, DirectoryUpdate, Heartbeat, HeartbeatAck, PeerError,
        PeerKeys, TrafficCounters,
        connection::Connection,
        error::{CallSnafu, CircuitOpenSnafu, TimeoutSnafu},
        peer_slot::PeerSlot,
        service::PeerServiceClient,
    },
    catalog::{ClientAccountId, RequestId, Revision},
    decision::{Record, RecordPart},
    prefix::BlockKey,
    snafu::IntoError,
    std::{
        collections::HashMap,
        future::Future,
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError},
        time::{Duration, Instant},
    },
    tarpc::{
        client::RpcError,
        context::{self, Context},
    },
    tokio::time,
};

/// Timeout of a heartbeat.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(800);
/// Timeout of directory updates, and of storing and reading decision records.
const DATA_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of reading a peer's configuration.
const CATALOG_TIMEOUT: Duration = Duration::from_secs(3);
/// A pooled connection gets the timeout divided by this number before a new connection is tried.
const POOLED_TIMEOUT_DIVISOR: u32 = 2;
/// A pooled connection that is unused for this long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_mins(1);

/// A pool with one connection per peer. Clones share the same pool.
///
/// Every call has a timeout. If a pooled connection fails or stops responding, the call is retried
/// on a new one. Only if that fails too does it count as a failure of the peer; after several
/// consecutive failures, a [`CircuitBreaker`](crate::CircuitBreaker) stops calls for a while.
#[derive(Clone, Debug)]
pub struct Peers {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    keys: PeerKeys,
    traffic: Arc<TrafficCounters>,
    slots: Mutex<HashMap<SocketAddr, Arc<PeerSlot>>>,
}

impl Peers {
    /// Creates a pool without connections. `traffic` counts its bytes and connections.
    #[must_use]
    pub fn new(keys: PeerKeys, traffic: Arc<TrafficCounters>) -> Self {
        let slots = Mutex::default();
        Self {
            inner: Arc::new(Inner {
                keys,
                traffic,
                slots,
            }),
        }
    }

    /// Sends a heartbeat, even while the peer's circuit is open. An answer closes the circuit.
    ///
    /// # Errors
    /// [`PeerError`] if the peer did not answer, also not on a new connection.
    pub async fn heartbeat(
        &self,
        peer: SocketAddr,
        heartbeat: Heartbeat,
    ) -> Result<HeartbeatAck, PeerError> {
        self.call(peer, HEARTBEAT_TIMEOUT, |client, context| {
            let heartbeat = heartbeat.clone();
            async move { client.heartbeat(context, heartbeat).await }
        })
        .await
    }

    /// Looks up a prompt's blocks in an owner's directory. [`hedged_lookup`](crate::hedged_lookup)
    /// asks several owners.
    ///
    /// # Errors
    /// [`PeerError`]; continue without the answer.
    pub async fn lookup(
        &self,
        peer: SocketAddr,
        timeout: Duration,
        client_account: &ClientAccountId,
        keys: &[BlockKey],
    ) -> Result<DirectoryAnswer, PeerError> {
        self.call_with_breaker(peer, timeout, |client, context| {
            let (client_account, keys) = (client_account.clone(), keys.to_vec());
            async move { client.lookup(context, client_account, keys).await }
        })
        .await
    }

    /// Sends directory updates to an owner.
    ///
    /// # Errors
    /// [`PeerError`]; retry the updates later or drop them, since they are only hints.
    pub async fn record(
        &self,
        peer: SocketAddr,
        updates: Vec<DirectoryUpdate>,
    ) -> Result<(), PeerError> {
        self.call_with_breaker(peer, DATA_TIMEOUT, |client, context| {
            let updates = updates.clone();
            async move { client.record(context, updates).await }
        })
        .await
    }

    /// Sends copies of decision records to a peer.
    ///
    /// # Errors
    /// [`PeerError`]; queue the parts again and send them to another peer.
    pub async fn replicate(&self, peer: SocketAddr, parts: &[RecordPart]) -> Result<(), PeerError> {
        self.call_with_breaker(peer, DATA_TIMEOUT, |client, context| {
            let parts = parts.to_vec();
            async move { client.replicate(context, parts).await }
        })
        .await
    }

    /// Asks for the decision record of a request.
    ///
    /// # Errors
    /// [`PeerError`]; ask another peer.
    pub async fn decision(
        &self,
        peer: SocketAddr,
        request: &RequestId,
    ) -> Result<Option<Record>, PeerError> {
        self.call_with_breaker(peer, DATA_TIMEOUT, |client, context| {
            let request = request.clone();
            async move { client.decision(context, request).await }
        })
        .await
    }

    /// Asks for the configuration, if the peer has a higher revision than `after` in force.
    ///
    /// # Errors
    /// [`PeerError`]; ask another peer.
    pub async fn catalog(
        &self,
        peer: SocketAddr,
        after: Revision,
    ) -> Result<Option<CatalogCopy>, PeerError> {
        self.call_with_breaker(peer, CATALOG_TIMEOUT, |client, context| async move {
            client.catalog(context, after).await
        })
        .await
    }

    /// Traffic of this pool.
    #[must_use]
    pub fn traffic(&self) -> &TrafficCounters {
        &self.inner.traffic
    }

    /// Closes connections that were not used for one minute. Call it every few seconds.
    pub async fn close_idle(&self) {
        let slots: Vec<(SocketAddr, Arc<PeerSlot>)> = {
            let slots = self.slots();
            slots
                .iter()
                .map(|(peer, slot)| (*peer, slot.clone()))
                .collect()
        };
        for (peer, slot) in slots {
            if slot.close_idle(IDLE_TIMEOUT).await {
                self.slots().remove(&peer);
            }
        }
    }

    /// Like [`Self::call`], but fails at once while the peer's circuit is open.
    async fn call_with_breaker<Answer, Call, Reply>(
        &self,
        peer: SocketAddr,
        timeout: Duration,
        call: Call,
    ) -> Result<Answer, PeerError>
    where
        Call: Fn(PeerServiceClient, Context) -> Reply,
        Reply: Future<Output = Result<Answer, RpcError>>,
    {
        if let Err(retry_after) = self.slot(peer).allow() {
            return CircuitOpenSnafu { peer, retry_after }.fail();
        }
        self.call(peer, timeout, call).await
    }

    /// Calls the peer within `timeout` and records the outcome in its circuit breaker.
    async fn call<Answer, Call, Reply>(
        &self,
        peer: SocketAddr,
        timeout: Duration,
        call: Call,
    ) -> Result<Answer, PeerError>
    where
        Call: Fn(PeerServiceClient, Context) -> Reply,
        Reply: Future<Output = Result<Answer, RpcError>>,
    {
        let slot = self.slot(peer);
        let deadline = Instant::now() + timeout;
        let attempt = self.attempt(peer, &slot, deadline, &call);
        let result = match time::timeout(timeout, attempt).await {
            Ok(Err(PeerError::Timeout { .. })) | Err(_) => TimeoutSnafu { peer, timeout }.fail(),
            Ok(result) => result,
        };
        slot.record_outcome(result.is_ok());
        result
    }

    /// Calls on the pooled connection, if there is one. Without one, or if it is dead, calls on a
    /// new connection.
    async fn attempt<Answer, Call, Reply>(
        &self,
        peer: SocketAddr,
        slot: &Arc<PeerSlot>,
        deadline: Instant,
        call: &Call,
    ) -> Result<Answer, PeerError>
    where
        Call: Fn(PeerServiceClient, Context) -> Reply,
        Reply: Future<Output = Result<Answer, RpcError>>,
    {
        if let Some(pooled) = slot.pooled_connection().await {
            let now = Instant::now();
            let pooled_deadline =
                now + deadline.saturating_duration_since(now) / POOLED_TIMEOUT_DIVISOR;
            let received_bytes = pooled.received_bytes();
            let result = call_on(&pooled, peer, pooled_deadline, call).await;
            let is_alive = pooled.received_bytes() > received_bytes;
            match result {
                Ok(answer) => return Ok(answer),
                // Other answers arrived meanwhile, so the connection works and this answer may only
                // be late.
                Err(PeerError::Timeout { .. }) if is_alive => {
                    return call_on(&pooled, peer, deadline, call).await;
                }
                Err(error) => log::info!("replacing a pooled connection: {error}"),
            }
            slot.discard(&pooled).await;
        }
        let fresh = slot
            .get_or_connect(peer, &self.inner.keys, &self.inner.traffic)
            .await?;
        call_on(&fresh, peer, deadline, call).await
    }

    fn slot(&self, peer: SocketAddr) -> Arc<PeerSlot> {
        self.slots().entry(peer).or_default().clone()
    }

    fn slots(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Arc<PeerSlot>>> {
        self.inner
            .slots
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

async fn call_on<Answer, Call, Reply>(
    connection: &Connection,
    peer: SocketAddr,
    deadline: Instant,
    call: &Call,
) -> Result<Answer, PeerError>
where
    Call: Fn(PeerServiceClient, Context) -> Reply,
    Reply: Future<Output = Result<Answer, RpcError>>,
{
    connection.mark_used();
    let mut context = context::current();
    context.deadline = deadline;
    let reply = call(connection.client.clone(), context);
    let timeout = deadline.saturating_duration_since(Instant::now());
    match time::timeout(timeout, reply).await {
        Ok(Ok(answer)) => Ok(answer),
        Ok(Err(RpcError::DeadlineExceeded)) | Err(_) => TimeoutSnafu { peer, timeout }.fail(),
        Ok(Err(error)) => Err(CallSnafu { peer }.into_error(error)),
    }
}
