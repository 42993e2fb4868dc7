//! One instance follows the key-value service through the feed server of another.

use {
    bytes::Bytes,
    cluster::transport,
    feed::{Feed, FollowAnswer, FollowClient, FollowedChanges, serve},
    futures::StreamExt,
    keyvalue::{Event, KvPair},
    relay::{RelayState, boot_time},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tarpc::{
        context::Context,
        server::{BaseChannel, Channel},
    },
    tokio::{net::TcpListener, time::sleep},
    tokio_util::sync::CancellationToken,
};

/// How long a request may take; long enough for a machine under load.
const PATIENCE: Duration = Duration::from_secs(10);
/// How long requests wait where no change is expected.
const WAIT: Duration = Duration::from_millis(200);

/// The remote calls of a build without `follow`, whose place the first methods keep.
#[tarpc::service]
trait OldFeedService {
    async fn read(since: Option<u64>, wait: Duration) -> u64;
    async fn exchange_origins(records: Vec<u64>, asked: Vec<u64>) -> Vec<u64>;
    async fn service_gap(within: Duration) -> Duration;
}

#[derive(Clone)]
struct OldServer;

impl OldFeedService for OldServer {
    async fn read(self, _: Context, _: Option<u64>, _: Duration) -> u64 {
        0
    }

    async fn exchange_origins(self, _: Context, _: Vec<u64>, _: Vec<u64>) -> Vec<u64> {
        Vec::new()
    }

    async fn service_gap(self, _: Context, within: Duration) -> Duration {
        within
    }
}

async fn start() -> (Arc<Feed>, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let feed = Arc::new(Feed::new(RelayState::default()));
    let token = CancellationToken::new();
    tokio::spawn(serve(Arc::new(listener), feed.clone(), token));
    (feed, address)
}

fn put(key: &str, revision: u64) -> Event {
    Event::Put(KvPair {
        key: key.to_owned(),
        value: Bytes::from_static(b"value"),
        create_revision: revision,
        mod_revision: revision,
    })
}

async fn follow(client: &mut FollowClient, since: u64, wait: Duration) -> FollowedChanges {
    match client.follow(1, since, wait, PATIENCE).await.unwrap() {
        FollowAnswer::Changes(changes) => changes,
        other => panic!("{other:?}"),
    }
}

#[tokio::test]
async fn changes_arrive_as_the_watch_delivered_them() {
    let (feed, address) = start().await;
    let mut client = FollowClient::new(address);
    feed.service_log.open(1, 5);
    let events = [put("a", 6), Event::Delete("b".to_owned(), 7)];
    for event in &events {
        feed.service_log.push(event);
    }
    feed.service_log.confirm(8, boot_time());
    let changes = follow(&mut client, 5, WAIT).await;
    let received: Vec<Event> = changes.events.into_iter().map(Event::from).collect();
    assert_eq!(received, events);
    assert_eq!(changes.complete_until, 8);
}

/// Guards against a change that members learn of only when their request would have ended anyway.
#[tokio::test]
async fn waiting_request_is_answered_by_the_next_change() {
    let (feed, address) = start().await;
    feed.service_log.open(1, 5);
    feed.service_log.confirm(5, boot_time());
    let waiting = tokio::spawn(async move {
        let mut client = FollowClient::new(address);
        follow(&mut client, 5, Duration::from_secs(2)).await
    });
    sleep(Duration::from_millis(100)).await;
    // Progress alone ends no request.
    feed.service_log.confirm(6, boot_time());
    sleep(Duration::from_millis(100)).await;
    assert!(!waiting.is_finished());
    feed.service_log.push(&put("a", 7));
    feed.service_log.confirm(7, boot_time());
    let changes = waiting.await.unwrap();
    assert_eq!(changes.events.len(), 1);
}

/// Guards against an age that hides, or counts twice, the time for which a request waited.
#[tokio::test]
async fn answer_names_the_time_for_which_it_was_held() {
    let (feed, address) = start().await;
    feed.service_log.open(1, 5);
    let confirmed_at = boot_time();
    feed.service_log.confirm(5, confirmed_at);
    let mut client = FollowClient::new(address);
    let asked_at = boot_time();
    let changes = follow(&mut client, 5, WAIT).await;
    assert!(changes.held >= WAIT);
    assert!(changes.age >= changes.held, "confirmed before it arrived");
    let as_of = (asked_at + changes.held).saturating_sub(changes.age);
    assert!(as_of <= confirmed_at, "never later than the service's word");
}

#[tokio::test]
async fn instance_that_stops_its_watch_answers_at_once() {
    let (feed, address) = start().await;
    feed.service_log.open(1, 5);
    feed.service_log.confirm(5, boot_time());
    let mut client = FollowClient::new(address);
    follow(&mut client, 5, Duration::ZERO).await;
    feed.service_log.close();
    let answer = client.follow(1, 5, Duration::from_secs(2), PATIENCE).await;
    assert_eq!(answer.unwrap(), FollowAnswer::NotWatching);
}

/// Guards against a reader that hangs at, or is confused by, a build without this call.
#[tokio::test]
async fn build_without_the_call_gives_an_error() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let calls = BaseChannel::with_defaults(transport(stream))
                .requests()
                .execute(OldServer.serve());
            tokio::spawn(calls.for_each(|call| call));
        }
    });
    let gap = feed::ask_service_gap(address, WAIT).await;
    assert_eq!(gap.unwrap(), WAIT, "the calls that it has");
    let mut client = FollowClient::new(address);
    for _ in 0..2 {
        let answer = client.follow(1, 5, WAIT, PATIENCE).await;
        assert!(
            matches!(answer, Err(feed::FeedError::Call { .. })),
            "{answer:?}"
        );
    }
}
