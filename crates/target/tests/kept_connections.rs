//! The connection on which a target is asked which process it is, after answers that end with theirs.

use {
    bytes::Bytes,
    http_body_util::Full,
    hyper::{HeaderMap, Request, Uri},
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU32, Ordering},
        },
        time::Duration,
    },
    target::{
        BodyEnd, BodyPart, Client, ClientSettings, Incarnation, IncarnationProbe, NamedRequest,
        Reuse, SendError,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        time::sleep,
    },
};

const TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which the connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_millis(300);
/// Time after the first answer from which on the connection is kept.
const KEPT_AFTER: Duration = Duration::from_millis(150);

/// A target that sends half of an answer, and the other half after as many milliseconds as the path says.
struct Target {
    address: SocketAddr,
    /// Connections that it has been asked on.
    asked_count: Arc<AtomicU32>,
}

impl Target {
    async fn start() -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        let asked_count = Arc::<AtomicU32>::default();
        let count = asked_count.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, count.clone()));
            }
        });
        Self {
            address,
            asked_count,
        }
    }
}

async fn serve(mut stream: TcpStream, asked_count: Arc<AtomicU32>) {
    let mut buffer = [0; 4_096];
    let mut was_asked = false;
    while let Ok(1..) = stream.read(&mut buffer).await {
        let head = String::from_utf8_lossy(&buffer);
        let path = head.split(' ').nth(1).unwrap();
        if let Ok(pause_ms) = path[1..].parse() {
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\n\r\nhalf").await;
            sleep(Duration::from_millis(pause_ms)).await;
            let _ = stream.write_all(b"half").await;
            return;
        }
        asked_count.fetch_add(u32::from(!was_asked), Ordering::Relaxed);
        was_asked = true;
        let answer = b"HTTP/1.1 200 OK\r\ntarget: one\r\ncontent-length: 0\r\n\r\n";
        let _ = stream.write_all(answer).await;
    }
}

fn request(path: &str) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = path.parse::<Uri>().unwrap();
    request
}

fn parse(headers: &HeaderMap, _: &[u8]) -> Option<Incarnation> {
    let target = headers.get("target")?.to_str().ok()?;
    Some(Incarnation::default().target(target))
}

/// Reads an answer that takes this time; returns how its body ended.
async fn call(client: &Client, target: &Target, time: Duration) -> Result<BodyEnd, SendError> {
    let named = NamedRequest {
        request: request(&format!("/{}", time.as_millis())),
        id: "c1",
    };
    let sent = client.send_named(target.address, named, Reuse::Allowed, TIMEOUT);
    let mut reply = sent.await?;
    reply.expect_incarnation(IncarnationProbe {
        request: request("/identity"),
        expected: Incarnation::default().target("one"),
        parse,
    });
    loop {
        if let BodyPart::End(whole) = reply.next_part().await? {
            return Ok(whole.end());
        }
    }
}

/// Guards against a sound stream counting as broken off because it took longer than the connection is kept.
#[tokio::test]
async fn connection_is_kept_as_long_as_an_answer_needs_it() {
    let target = Target::start().await;
    let client = Client::new(ClientSettings::default().witness_idle_timeout(IDLE_TIMEOUT));
    for time in [Duration::ZERO, 4 * IDLE_TIMEOUT, Duration::ZERO] {
        let end = call(&client, &target, time).await;
        assert_eq!(end.unwrap(), BodyEnd::Connection, "{time:?}");
        sleep(KEPT_AFTER).await;
    }
    assert_eq!(target.asked_count.load(Ordering::Relaxed), 1);
}

#[tokio::test]
async fn connection_that_no_answer_needs_is_closed() {
    let target = Target::start().await;
    let client = Client::new(ClientSettings::default().witness_idle_timeout(IDLE_TIMEOUT));
    for _ in 0..2 {
        let end = call(&client, &target, Duration::ZERO).await;
        assert_eq!(end.unwrap(), BodyEnd::Connection);
        sleep(KEPT_AFTER + 2 * IDLE_TIMEOUT).await;
    }
    assert_eq!(target.asked_count.load(Ordering::Relaxed), 2);
}
