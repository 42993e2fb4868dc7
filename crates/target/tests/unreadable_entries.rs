//! Listings and events of targets that hold keys and entries which can't be read.

use {
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex},
    },
    target::{Client, ClientSettings, EngineClient, StoreClient},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpListener,
    },
};

/// A block that can be read.
const SOUND_BLOCK: &str =
    r#"{"key":"0a","generation":1,"size_bytes":2,"client_account":"acme","state":"committed"}"#;

/// A target that answers each request with the next of some bodies.
struct Target {
    address: SocketAddr,
    /// Methods and paths of the requests, in order.
    requests: Arc<Mutex<Vec<String>>>,
}

impl Target {
    async fn start(bodies: Vec<Vec<u8>>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let requests = Arc::<Mutex<Vec<String>>>::default();
        let record = requests.clone();
        tokio::spawn(async move {
            for body in bodies {
                let (mut stream, _) = listener.accept().await.unwrap();
                let mut head = [0; 4096];
                let length = stream.read(&mut head).await.unwrap();
                let head = String::from_utf8_lossy(&head[..length]).into_owned();
                let line = head.lines().next().unwrap().replace(" HTTP/1.1", "");
                record.lock().unwrap().push(line);
                let length = body.len();
                let head = "HTTP/1.1 200 OK\r\nconnection: close\r\n";
                let head = format!("{head}content-length: {length}\r\n\r\n");
                stream.write_all(head.as_bytes()).await.unwrap();
                stream.write_all(&body).await.unwrap();
            }
        });
        Self { address, requests }
    }

    fn store(&self) -> StoreClient {
        StoreClient::new(Client::new(ClientSettings::default()), self.address)
    }

    fn engine(&self) -> EngineClient {
        EngineClient::new(Client::new(ClientSettings::default()), self.address)
    }

    fn requests(&self) -> Vec<String> {
        self.requests.lock().unwrap().clone()
    }
}

/// Guards against a listing that goes on after another key than the last one.
#[tokio::test]
async fn keys_are_escaped() {
    let page = br#"{"blocks":[]}"#.to_vec();
    let target = Target::start(vec![page.clone(), page.clone(), page]).await;
    let store = target.store();
    let mut expected = Vec::new();
    for (key, escaped) in [("a&limit=1", "a%26limit%3D1"), ("a #+%", "a%20%23%2B%25")] {
        store.blocks(key).await.unwrap();
        expected.push(format!("GET /v1/blocks?after={escaped}&limit=1000"));
    }
    store.free("0a/../0b?x", 7).await.unwrap();
    expected.push("DELETE /v1/blocks/0a%2F..%2F0b%3Fx?generation=7".to_owned());
    assert_eq!(target.requests(), expected);
}

/// Guards against a listing that never ends.
#[tokio::test]
async fn page_that_does_not_move_on_is_an_error() {
    let page = |next: &str| format!(r#"{{"blocks":[{SOUND_BLOCK}],"next":"{next}"}}"#).into_bytes();
    let target = Target::start(vec![page("0b"), page("0a"), page("0A"), page("")]).await;
    let store = target.store();
    assert_eq!(
        store.blocks("0a").await.unwrap().next.as_deref(),
        Some("0b")
    );
    for _ in 0..3 {
        let page = store.blocks("0a").await;
        assert!(page.is_err(), "{page:?}");
    }
}

/// Guards against a store or an engine whose content stays unknown because of one entry.
#[tokio::test]
async fn unreadable_entries_leave_the_others() {
    let odd_entries: [&[u8]; 5] = [
        b"null",
        b"{}",
        br#"{"key":7}"#,
        br#"{"key":"\ud800"}"#,
        b"{\"key\":\"\xff\"}",
    ];
    for odd in odd_entries {
        let body = |head: &str, sound: &str| {
            [head.as_bytes(), odd, b",", sound.as_bytes(), b"]}"].concat()
        };
        let event = r#"{"seq":3,"kind":"stored","key":"0a"}"#;
        let bodies = vec![
            body(r#"{"blocks":["#, SOUND_BLOCK),
            body(r#"{"last_seq":3,"blocks":["#, SOUND_BLOCK),
            body(r#"{"oldest_seq":1,"last_seq":3,"events":["#, event),
        ];
        let target = Target::start(bodies).await;
        assert_eq!(target.store().blocks("").await.unwrap().blocks.len(), 1);
        let engine = target.engine();
        assert_eq!(engine.cache_blocks().await.unwrap().blocks.len(), 1);
        let events = engine.cache_events(0).await.unwrap();
        assert_eq!((events.events.len(), events.unreadable_count), (1, 1));
    }
}
