//! One instance reads what another has learned. Guards against a reader that misses changes after
//! the other instance restarts, or stays unconnected after it did not answer.

use {
    feed::{Feed, FeedReader, serve},
    parts::{CachedPart, Change, PartDirectory, PromptPart, Store},
    relay::RelayState,
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::{net::TcpListener, task::JoinHandle},
    tokio_util::sync::CancellationToken,
};

/// How long reads wait for a change where none is expected.
const WAIT: Duration = Duration::from_millis(300);
/// How long reads wait where an answer is expected; long enough for a machine under load.
const PATIENCE: Duration = Duration::from_secs(10);

struct Instance {
    feed: Arc<Feed>,
    stop: CancellationToken,
    server: JoinHandle<()>,
}

impl Instance {
    fn start(listener: TcpListener) -> Self {
        let relay_state = RelayState {
            cache_index: Arc::new(Mutex::new(part_directory())),
            ..RelayState::default()
        };
        let feed = Arc::new(Feed::new(relay_state));
        let stop = CancellationToken::new();
        let server = tokio::spawn(serve(Arc::new(listener), feed.clone(), stop.clone()));
        Self { feed, stop, server }
    }

    async fn stop(self) {
        self.stop.cancel();
        self.server.await.unwrap();
    }
}

async fn listen(address: &str) -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind(address).await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// Starts an instance that follows the place and knows one part there, and returns its address.
async fn instance_with_a_part() -> (Instance, SocketAddr) {
    let (listener, address) = listen("127.0.0.1:0").await;
    let instance = Instance::start(listener);
    instance.feed.follow(place());
    instance.feed.publish(held(1));
    (instance, address)
}

fn place() -> SocketAddr {
    ([127, 0, 0, 1], 9).into()
}

fn part_directory() -> PartDirectory {
    let mut directory = PartDirectory::default();
    directory.set_store(Store::new(place(), 50_000));
    directory
}

fn held(part: u64) -> Change {
    let parts = vec![CachedPart { part, tokens: 10 }];
    Change::Held {
        place: place(),
        parts,
    }
}

fn holds(directory: &PartDirectory, part: u64) -> bool {
    directory.holds_all(place(), &[PromptPart { part, tokens: 10 }])
}

#[tokio::test]
async fn reader_gets_the_whole_state_and_then_only_changes() {
    let (instance, address) = instance_with_a_part().await;
    let mut reader = FeedReader::new(address);
    let first = reader.read(None, PATIENCE).await.unwrap();
    let mut replica = part_directory();
    for change in &first.changes {
        replica.apply(change, Duration::ZERO);
    }
    assert!(holds(&replica, 1));
    instance.feed.publish(held(2));
    let next = reader.read(Some(first.position), PATIENCE).await.unwrap();
    assert_eq!(next.changes, [held(2)]);
    let none = reader.read(Some(next.position), PATIENCE).await.unwrap();
    assert!(none.changes.is_empty());
    instance.stop().await;
}

#[tokio::test]
async fn reader_of_a_restarted_instance_gets_its_whole_state() {
    let (instance, address) = instance_with_a_part().await;
    let mut reader = FeedReader::new(address);
    let before = reader.read(None, PATIENCE).await.unwrap().position;
    instance.stop().await;
    assert!(reader.read(Some(before), WAIT).await.is_err());
    let (listener, _) = listen(&address.to_string()).await;
    let instance = Instance::start(listener);
    instance.feed.follow(place());
    instance.feed.publish(held(2));
    let batch = reader.read(Some(before), PATIENCE).await.unwrap();
    assert_eq!(batch.changes[0], Change::Cleared { place: place() });
    assert!(batch.changes.contains(&held(2)));
    instance.stop().await;
}

#[tokio::test]
async fn reader_reconnects_after_an_instance_did_not_answer() {
    let (listener, address) = listen("127.0.0.1:0").await;
    let mut reader = FeedReader::new(address);
    assert!(reader.read(None, WAIT).await.is_err(), "nobody answers");
    let instance = Instance::start(listener);
    assert!(reader.read(None, PATIENCE).await.is_ok());
    instance.stop().await;
}

#[tokio::test]
async fn unfollowed_place_is_not_read() {
    let (instance, address) = instance_with_a_part().await;
    instance.feed.unfollow(place());
    let mut reader = FeedReader::new(address);
    let batch = reader.read(None, PATIENCE).await.unwrap();
    assert!(batch.changes.is_empty(), "{batch:?}");
    instance.stop().await;
}

/// Guards against a reader that goes on fetching what another instance frees, since it has not learned
/// yet that this one no longer follows the store.
#[tokio::test]
async fn reader_forgets_a_place_that_is_no_longer_followed() {
    let (instance, address) = instance_with_a_part().await;
    let mut reader = FeedReader::new(address);
    let before = reader.read(None, PATIENCE).await.unwrap().position;
    instance.feed.unfollow(place());
    let batch = reader.read(Some(before), PATIENCE).await.unwrap();
    assert_eq!(batch.changes, [Change::Cleared { place: place() }]);
    instance.stop().await;
}
