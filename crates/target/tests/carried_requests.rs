//! A connection carries each request once, also if the request is sent again.

use {
    bytes::Bytes,
    http_body_util::Full,
    hyper::{Request, header::HOST},
    proptest::{collection::vec, prelude::ProptestConfig, proptest},
    std::{
        collections::HashSet,
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::Duration,
    },
    target::{Client, ClientSettings, NamedRequest, Reuse},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        runtime,
    },
};

const TIMEOUT: Duration = Duration::from_secs(5);
const ANSWER: &[u8] = b"HTTP/1.1 503 Full\r\ncontent-length: 0\r\n\r\n";

/// Ids of the requests that a target has read, by connection.
type Arrived = Arc<Mutex<Vec<Vec<String>>>>;

/// Starts a target that refuses everything.
async fn start() -> (SocketAddr, Arrived) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let (address, arrived) = (listener.local_addr().unwrap(), Arrived::default());
    let shared = arrived.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(refuse_all(stream, shared.clone()));
        }
    });
    (address, arrived)
}

async fn refuse_all(mut stream: TcpStream, arrived: Arrived) {
    let index = {
        let mut arrived = arrived.lock().unwrap();
        arrived.push(Vec::new());
        arrived.len() - 1
    };
    let mut buffer = [0; 4096];
    while let Ok(length @ 1..) = stream.read(&mut buffer).await {
        let head = String::from_utf8_lossy(&buffer[..length]).into_owned();
        let path = head.split(' ').nth(1).unwrap().to_owned();
        arrived.lock().unwrap()[index].push(path);
        if stream.write_all(ANSWER).await.is_err() {
            return;
        }
    }
}

/// Sends a request with this id and reads its answer.
async fn send(client: &Client, address: SocketAddr, id: &str) {
    let request = Request::post(id).header(HOST, address.to_string());
    let named = NamedRequest {
        request: request.body(Full::<Bytes>::default()).unwrap(),
        id,
    };
    let sent = client.send_named(address, named, Reuse::Allowed, TIMEOUT);
    let mut reply = sent.await.unwrap();
    reply.discard_body(0, TIMEOUT).await.unwrap();
}

/// Sends requests with these ids one after another; returns what each connection has carried.
async fn carried<Ids>(ids: Ids) -> Vec<Vec<String>>
where
    Ids: IntoIterator<Item = usize>,
{
    let (address, arrived) = start().await;
    let client = Client::new(ClientSettings::default().idle_timeout(Duration::from_mins(1)));
    for id in ids {
        send(&client, address, &format!("/{id}")).await;
    }
    arrived.lock().unwrap().clone()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    #[test]
    fn no_connection_carries_a_request_twice(ids in vec(0_usize..6, 1..40)) {
        let runtime = runtime::Builder::new_current_thread().enable_all().build();
        for ids in runtime.unwrap().block_on(carried(ids)) {
            let distinct: HashSet<_> = ids.iter().collect();
            assert_eq!(distinct.len(), ids.len(), "{ids:?}");
        }
    }
}

#[tokio::test]
async fn other_requests_share_a_connection() {
    assert_eq!(carried(0..20).await.len(), 1);
}

#[tokio::test]
async fn others_open_no_connection_beside_those_of_a_request_that_comes_often() {
    let ids = (0..20).flat_map(|id| [id, 1_000]);
    assert_eq!(carried(ids).await.len(), 20);
}

/// Guards against memory that grows as long as a connection is used.
#[tokio::test]
async fn connection_that_has_carried_many_requests_is_not_used_again() {
    let connections = carried(0..600).await;
    assert_eq!(connections.len(), 3, "256 requests a connection");
}
