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

/// Bound on a heartbeat.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(800);
/// Bound on directory updates, record copies and record look-ups.
const DATA_TIMEOUT: Duration = Duration::from_secs(1);
/// Bound on reading a peer's configuration.
const CATALOG_TIMEOUT: Duration = Duration::from_secs(3);
/// A pooled connection gets this fraction of the timeout before a fresh one is tried.
const POOLED_TIMEOUT_DIVISOR: u32 = 2;
/// A pooled connection unused for so long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_mins(1);

/// A pool with one connection for each peer. Clones share it.
///
/// Every call is bounded. If a pooled connection breaks or stays silent, the call is repeated on a
/// fresh one; only when that fails too the peer is blamed, and left alone for a while after
/// several failures in a row.
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
    /// A pool without connections. `traffic` counts its bytes.
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

    /// Sends a heartbeat. It is sent also while the circuit is open, and so closes it.
    ///
    /// # Errors
    /// [`PeerError`]; the peer did not answer on a fresh connection either.
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

    /// Asks an owner what it knows of a prompt's blocks. [`hedged_lookup`](crate::hedged_lookup) asks several.
    ///
    /// # Errors
    /// [`PeerError`]; go on without.
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
    /// [`PeerError`]; keep the updates and send them again, or drop them: they are hints.
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

    /// Sends copies of decision records.
    ///
    /// # Errors
    /// [`PeerError`]; put the parts back and send them to another peer.
    pub async fn replicate(&self, peer: SocketAddr, parts: &[RecordPart]) -> Result<(), PeerError> {
        self.call_with_breaker(peer, DATA_TIMEOUT, |client, context| {
            let parts = parts.to_vec();
            async move { client.replicate(context, parts).await }
        })
        .await
    }

    /// Asks for the record of a request.
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

    /// Bytes and connections of this pool.
    #[must_use]
    pub fn traffic(&self) -> &TrafficCounters {
        &self.inner.traffic
    }

    /// Closes connections that were not used for a minute. Call it every few seconds.
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

    /// Calls on the pooled connection if there is one, else or if that is dead on a fresh one.
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
                // Other answers arrived meanwhile, so this one may only be late.
                Err(PeerError::Timeout { .. }) if is_alive => {
                    return call_on(&pooled, peer, deadline, call).await;
                }
                Err(error) => log::info!("connection replaced: {error}"),
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
