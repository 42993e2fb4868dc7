//! One instance reads what another has learned, also after restarts and silence.

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

const WAIT: Duration = Duration::from_millis(300);

struct Instance {
    feed: Arc<Feed>,
    stop: CancellationToken,
    ended: JoinHandle<()>,
}

impl Instance {
    fn start(listener: TcpListener) -> Self {
        let followed = RelayState {
            cache_index: Arc::new(Mutex::new(keeping())),
            ..RelayState::default()
        };
        let feed = Arc::new(Feed::new(followed));
        let stop = CancellationToken::new();
        let ended = tokio::spawn(serve(Arc::new(listener), feed.clone(), stop.clone()));
        Self { feed, stop, ended }
    }

    async fn end(self) {
        self.stop.cancel();
        self.ended.await.unwrap();
    }
}

async fn listen(address: &str) -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind(address).await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

fn place() -> SocketAddr {
    ([127, 0, 0, 1], 9).into()
}

fn keeping() -> PartDirectory {
    let mut keeping = PartDirectory::default();
    keeping.set_store(Store::new(place(), 50_000));
    keeping
}

fn held(part: u64) -> Change {
    let parts = vec![CachedPart { part, tokens: 10 }];
    Change::Held {
        place: place(),
        parts,
    }
}

fn keeps(keeping: &PartDirectory, part: u64) -> bool {
    keeping.holds_all(place(), &[PromptPart { part, tokens: 10 }])
}

#[tokio::test]
async fn reader_gets_the_state_and_then_what_changes() {
    let (listener, address) = listen("127.0.0.1:0").await;
    let instance = Instance::start(listener);
    instance.feed.follow(place());
    instance.feed.publish(held(1));
    let mut reader = FeedReader::new(address);
    let first = reader.read(None, WAIT).await.unwrap();
    let mut read = keeping();
    for change in &first.changes {
        read.apply(change, Duration::ZERO);
    }
    assert!(keeps(&read, 1));
    instance.feed.publish(held(2));
    let next = reader.read(Some(first.position), WAIT).await.unwrap();
    assert_eq!(next.changes, [held(2)]);
    let none = reader.read(Some(next.position), WAIT).await.unwrap();
    assert!(none.changes.is_empty());
    instance.end().await;
}

#[tokio::test]
async fn reader_of_a_restarted_instance_gets_its_whole_state() {
    let (listener, address) = listen("127.0.0.1:0").await;
    let instance = Instance::start(listener);
    instance.feed.follow(place());
    instance.feed.publish(held(1));
    let mut reader = FeedReader::new(address);
    let before = reader.read(None, WAIT).await.unwrap().position;
    instance.end().await;
    assert!(reader.read(Some(before), WAIT).await.is_err());
    let (listener, _) = listen(&address.to_string()).await;
    let instance = Instance::start(listener);
    instance.feed.follow(place());
    instance.feed.publish(held(2));
    let batch = reader.read(Some(before), WAIT).await.unwrap();
    assert_eq!(batch.changes[0], Change::Cleared { place: place() });
    assert!(batch.changes.contains(&held(2)));
    instance.end().await;
}

#[tokio::test]
async fn silent_instance_is_an_error_and_a_new_connection_follows() {
    let (listener, address) = listen("127.0.0.1:0").await;
    let mut reader = FeedReader::new(address);
    assert!(reader.read(None, WAIT).await.is_err(), "nobody answers");
    let instance = Instance::start(listener);
    assert!(reader.read(None, WAIT).await.is_ok());
    instance.end().await;
}

#[tokio::test]
async fn place_that_is_left_is_not_told_of() {
    let (listener, address) = listen("127.0.0.1:0").await;
    let instance = Instance::start(listener);
    instance.feed.follow(place());
    instance.feed.publish(held(1));
    instance.feed.unfollow(place());
    let batch = FeedReader::new(address).read(None, WAIT).await.unwrap();
    assert!(batch.changes.is_empty(), "{batch:?}");
    instance.end().await;
}
