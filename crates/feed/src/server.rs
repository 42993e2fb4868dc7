//! The server that answers the readers of a feed.

use {
    crate::{
        Batch, Feed, FollowAnswer, MergedBatch, MergedRequest, PlacesRequest,
        former_batch::FormerBatch, service::FeedService,
    },
    catalog::Revision,
    cluster::{accept_connection, transport},
    futures::StreamExt,
    origins::{OriginKnowledge, OriginRecord, StreamKey},
    parts::Position,
    relay::boot_time,
    std::{sync::Arc, time::Duration},
    tarpc::{
        context::Context,
        server::{BaseChannel, Channel},
    },
    tokio::{
        net::{TcpListener, TcpStream},
        sync::Semaphore,
        time::timeout,
    },
    tokio_util::{sync::CancellationToken, task::TaskTracker},
};

/// Number of connections that are served at once; further ones wait. Each instance may have three: one
/// reads the feed, one exchanges the origins of streams, one follows the key-value service.
const MAX_CONNECTIONS_COUNT: usize = 1_024;
/// Number of calls that run at once on one connection. A reader makes only one at a time.
const MAX_CALLS_COUNT: usize = 4;
/// Longest time that a call waits for a change.
const MAX_WAIT: Duration = Duration::from_secs(2);
/// Time after which a connection is closed, so that one whose reader is gone does not stay open.
const MAX_CONNECTION_AGE: Duration = Duration::from_mins(10);

/// Answers readers on `listener` until `token` is cancelled.
pub async fn serve(listener: Arc<TcpListener>, feed: Arc<Feed>, token: CancellationToken) {
    let slots = Arc::new(Semaphore::new(MAX_CONNECTIONS_COUNT));
    let connections = TaskTracker::new();
    while let Some((stream, _)) = accept_connection(&listener, &token).await {
        let Ok(slot) = slots.clone().acquire_owned().await else {
            break;
        };
        let (feed, closed) = (feed.clone(), token.clone().cancelled_owned());
        connections.spawn(async move {
            tokio::select! {
                () = closed => {}
                _ = timeout(MAX_CONNECTION_AGE, serve_connection(stream, feed)) => {}
            }
            drop(slot);
        });
    }
    connections.close();
    connections.wait().await;
}

async fn serve_connection(stream: TcpStream, feed: Arc<Feed>) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("feed connection closed before it was served: {error}");
        return;
    }
    let calls = BaseChannel::with_defaults(transport(stream))
        .max_concurrent_requests(MAX_CALLS_COUNT)
        .requests()
        .execute(FeedServer { feed }.serve());
    calls
        .for_each_concurrent(MAX_CALLS_COUNT, |call| call)
        .await;
}

/// Passes the calls of one connection on to the feed.
#[derive(Clone)]
struct FeedServer {
    feed: Arc<Feed>,
}

impl FeedService for FeedServer {
    async fn read(self, _: Context, since: Option<Position>, wait: Duration) -> FormerBatch {
        let batch = self.feed.read_or_wait(since, wait.min(MAX_WAIT)).await;
        self.feed.count_served(batch.encoded_bytes());
        batch.into()
    }

    async fn exchange_origins(
        self,
        _: Context,
        records: Vec<OriginRecord>,
        asked: Vec<StreamKey>,
    ) -> Vec<OriginKnowledge> {
        self.feed.exchange_origins(&records, &asked)
    }

    async fn service_gap(self, _: Context, within: Duration) -> Duration {
        self.feed.service_gap(within)
    }

    async fn read_places(self, _: Context, request: PlacesRequest) -> Batch {
        let wait = request.wait.min(MAX_WAIT);
        let batch = self.feed.read_places_or_wait(&request, wait).await;
        self.feed.count_served(batch.encoded_bytes());
        batch
    }

    async fn read_merged(self, _: Context, request: MergedRequest) -> Option<MergedBatch> {
        let batch = self.feed.read_merged(&request, boot_time())?;
        self.feed.count_served(batch.encoded_bytes());
        Some(batch)
    }

    async fn follow(
        self,
        _: Context,
        incarnation: u64,
        since: Revision,
        wait: Duration,
    ) -> FollowAnswer {
        let log = &self.feed.service_log;
        let wait = wait.min(MAX_WAIT);
        log.answer_or_wait(incarnation, since, wait).await
    }
}
