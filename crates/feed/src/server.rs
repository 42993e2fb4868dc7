//! Answers readers.

use {
    crate::{Batch, Feed, service::FeedService},
    cluster::{accept_connection, transport},
    futures::StreamExt,
    parts::Position,
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

/// Connections open at once; further ones wait.
const MAX_CONNECTIONS_COUNT: usize = 512;
/// Calls running at once on one connection; a reader makes one at a time.
const MAX_CALLS_COUNT: usize = 4;
/// Longest time that a reader is kept waiting for something to tell.
const MAX_WAIT: Duration = Duration::from_secs(2);
/// A connection is closed after this time, so that one whose reader is gone does not stay.
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
                _ = timeout(MAX_CONNECTION_AGE, answer(stream, feed)) => {}
            }
            drop(slot);
        });
    }
    connections.close();
    connections.wait().await;
}

async fn answer(stream: TcpStream, feed: Arc<Feed>) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("reader left before it was answered: {error}");
        return;
    }
    let calls = BaseChannel::with_defaults(transport(stream))
        .max_concurrent_requests(MAX_CALLS_COUNT)
        .requests()
        .execute(Answers { feed }.serve());
    calls
        .for_each_concurrent(MAX_CALLS_COUNT, |call| call)
        .await;
}

/// Passes calls on to the feed.
#[derive(Clone)]
struct Answers {
    feed: Arc<Feed>,
}

impl FeedService for Answers {
    async fn read(self, _: Context, since: Option<Position>, wait: Duration) -> Batch {
        self.feed.read_within(since, wait.min(MAX_WAIT)).await
    }
}
