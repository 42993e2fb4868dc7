//! Accepts connections of peers and answers their calls.

use {
    crate::{
        CatalogCopy, DirectoryAnswer, DirectoryUpdate, Heartbeat, HeartbeatAck, PeerHandler,
        PeerKeys, TrafficCounters, connection::transport, handshake, service::PeerService,
        traffic_counters::count_traffic,
    },
    catalog::{ClientAccountId, RequestId, Revision},
    decision::{Record, RecordPart},
    futures::StreamExt,
    prefix::BlockKey,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tarpc::{
        context::Context,
        server::{BaseChannel, Channel},
    },
    tokio::{
        net::{TcpListener, TcpStream},
        sync::Semaphore,
        time,
    },
    tokio_util::{sync::CancellationToken, task::TaskTracker},
};

/// Maximum number of open connections; further ones wait.
const MAX_CONNECTIONS_COUNT: usize = 1_024;
/// Maximum number of concurrent calls on one connection.
const MAX_CALLS_COUNT: usize = 64;
/// A connection that receives nothing for this long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_mins(3);
/// Delay after a failed accept, for example when file descriptors have run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Serves peers on `listener` until `token` is cancelled, then closes all open connections.
pub async fn serve<Handler>(
    listener: TcpListener,
    keys: PeerKeys,
    handler: Handler,
    traffic: Arc<TrafficCounters>,
    token: CancellationToken,
) where
    Handler: PeerHandler,
{
    let keys = Arc::new(keys);
    let connection_permits = Arc::new(Semaphore::new(MAX_CONNECTIONS_COUNT));
    let connections = TaskTracker::new();
    while let Some((stream, peer)) = accept_connection(&listener, &token).await {
        let Ok(permit) = connection_permits.clone().acquire_owned().await else {
            break;
        };
        let (keys, handler, traffic) = (keys.clone(), handler.clone(), traffic.clone());
        let shutdown = token.clone().cancelled_owned();
        connections.spawn(async move {
            tokio::select! {
                () = shutdown => {}
                () = serve_connection(stream, peer, &keys, handler, traffic) => {}
            }
            drop(permit);
        });
    }
    connections.close();
    connections.wait().await;
}

/// Accepts the next connection. Returns `None` once `token` is cancelled.
pub async fn accept_connection(
    listener: &TcpListener,
    token: &CancellationToken,
) -> Option<(TcpStream, SocketAddr)> {
    loop {
        let accepted = tokio::select! {
            () = token.cancelled() => return None,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok(accepted) => return Some(accepted),
            Err(error) => {
                log::warn!("cannot accept a peer connection: {error}; raise the open files limit");
                time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection<Handler>(
    mut stream: TcpStream,
    peer: SocketAddr,
    keys: &PeerKeys,
    handler: Handler,
    total_traffic: Arc<TrafficCounters>,
) where
    Handler: PeerHandler,
{
    if let Err(error) = handshake::accept(&mut stream, keys).await {
        log::warn!("connection from {peer} refused: {error}");
        return;
    }
    // Sends small answers at once. If this fails, answers are only slower.
    let _ = stream.set_nodelay(true);
    total_traffic.add_connection();
    let own_traffic = Arc::new(TrafficCounters::default());
    let stream = count_traffic(stream, own_traffic.clone(), total_traffic);
    let calls = BaseChannel::with_defaults(transport(stream))
        .max_concurrent_requests(MAX_CALLS_COUNT)
        .requests()
        .execute(PeerServer { handler }.serve());
    tokio::select! {
        () = calls.for_each_concurrent(MAX_CALLS_COUNT, |call| call) => {}
        () = wait_until_idle(&own_traffic) => log::debug!("idle connection from {peer} closed"),
    }
}

/// Returns once an [`IDLE_TIMEOUT`] passes without any received bytes.
async fn wait_until_idle(traffic: &TrafficCounters) {
    let mut previous_bytes = traffic.received_bytes();
    loop {
        time::sleep(IDLE_TIMEOUT).await;
        let current_bytes = traffic.received_bytes();
        if current_bytes == previous_bytes {
            return;
        }
        previous_bytes = current_bytes;
    }
}

/// Forwards calls to the handler.
#[derive(Clone)]
struct PeerServer<Handler> {
    handler: Handler,
}

impl<Handler> PeerService for PeerServer<Handler>
where
    Handler: PeerHandler,
{
    async fn heartbeat(self, _: Context, heartbeat: Heartbeat) -> HeartbeatAck {
        self.handler.heartbeat(heartbeat).await
    }

    async fn lookup(
        self,
        _: Context,
        client_account: ClientAccountId,
        keys: Vec<BlockKey>,
    ) -> DirectoryAnswer {
        self.handler.lookup(client_account, keys).await
    }

    async fn record(self, _: Context, updates: Vec<DirectoryUpdate>) {
        self.handler.record(updates).await;
    }

    async fn replicate(self, _: Context, parts: Vec<RecordPart>) {
        self.handler.replicate(parts).await;
    }

    async fn decision(self, _: Context, request: RequestId) -> Option<Record> {
        self.handler.decision(request).await
    }

    async fn catalog(self, _: Context, after: Revision) -> Option<CatalogCopy> {
        self.handler.catalog(after).await
    }
}
