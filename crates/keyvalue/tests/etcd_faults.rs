//! Errors of the HTTP client of the key-value service when a connection fails at each point of a
//! call: a call that may have been sent must be reported as unknown and never sent again.

use {
    futures::StreamExt,
    keyvalue::{EtcdKv, EtcdSettings, Event, KeyValue, KvError, Op, Txn},
    proptest::prelude::{ProptestConfig, any, proptest},
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU32, Ordering},
        },
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
    },
};

const WRITTEN: &[u8] = br#"{"header":{"revision":"7"},"succeeded":true}"#;

/// How the server treats the next request of a connection.
#[derive(Clone)]
enum Step {
    Answer(Vec<u8>),
    AnswerAndClose(Vec<u8>),
    /// Sends the answer with neither a length nor chunks, and closes.
    Unframed(Vec<u8>),
    Close,
    Silence,
}

/// A server whose n-th connection carries out the n-th list of steps.
struct ScriptedServer {
    address: SocketAddr,
    request_count: Arc<AtomicU32>,
}

impl ScriptedServer {
    async fn start(connections: Vec<Vec<Step>>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let request_count = Arc::new(AtomicU32::new(0));
        let counter = request_count.clone();
        tokio::spawn(async move {
            for steps in connections {
                let (stream, _) = listener.accept().await.unwrap();
                tokio::spawn(run_steps(stream, steps, counter.clone()));
            }
        });
        Self {
            address,
            request_count,
        }
    }

    fn kv(&self) -> EtcdKv {
        client(vec![self.address])
    }

    fn request_count(&self) -> u32 {
        self.request_count.load(Ordering::SeqCst)
    }
}

async fn run_steps(mut stream: TcpStream, steps: Vec<Step>, request_count: Arc<AtomicU32>) {
    for step in steps {
        if !read_request(&mut stream).await {
            return;
        }
        request_count.fetch_add(1, Ordering::SeqCst);
        match step {
            Step::Answer(body) => write_response(&mut stream, &body).await,
            Step::AnswerAndClose(body) => return write_response(&mut stream, &body).await,
            Step::Unframed(body) => {
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n").await;
                let _ = stream.write_all(&body).await;
                return;
            }
            Step::Close => return,
            Step::Silence => std::future::pending().await,
        }
    }
    std::future::pending::<()>().await;
}

async fn read_request(stream: &mut TcpStream) -> bool {
    let mut received = Vec::new();
    loop {
        let mut chunk = [0; 4096];
        match stream.read(&mut chunk).await {
            Ok(0) | Err(_) => return false,
            Ok(length) => received.extend_from_slice(&chunk[..length]),
        }
        let text = String::from_utf8_lossy(&received).into_owned();
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            continue;
        };
        let length = head.lines().find_map(|line| {
            let (name, value) = line.split_once(": ")?;
            name.eq_ignore_ascii_case("content-length")
                .then(|| value.parse::<usize>().unwrap())
        });
        if body.len() >= length.unwrap_or(0) {
            return true;
        }
    }
}

async fn write_response(stream: &mut TcpStream, body: &[u8]) {
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
    let _ = stream.write_all(head.as_bytes()).await;
    let _ = stream.write_all(body).await;
}

fn client(endpoints: Vec<SocketAddr>) -> EtcdKv {
    EtcdKv::new(EtcdSettings {
        endpoints,
        timeout: Duration::from_millis(500),
    })
}

fn put() -> Txn {
    Txn {
        success: vec![Op::Put("/a".to_owned(), "x".into(), None)],
        ..Txn::default()
    }
}

async fn closed_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    listener.local_addr().unwrap()
}

#[tokio::test]
async fn a_refused_connection_is_unreachable_and_the_next_endpoint_is_used() {
    let closed = closed_address().await;
    let failed = client(vec![closed]).txn(put()).await;
    assert!(matches!(failed, Err(KvError::Unreachable { .. })));

    let server = ScriptedServer::start(vec![vec![Step::Answer(WRITTEN.to_vec())]]).await;
    let outcome = client(vec![closed, server.address]).txn(put()).await;
    assert!(outcome.unwrap().succeeded);
}

#[tokio::test]
async fn a_call_whose_connection_closed_is_unknown_and_never_repeated() {
    let again = vec![Step::Answer(WRITTEN.to_vec())];
    let server = ScriptedServer::start(vec![vec![Step::Close], again]).await;
    let failed = client(vec![server.address, server.address])
        .txn(put())
        .await;
    assert!(matches!(failed, Err(KvError::Unknown { .. })));
    assert_eq!(server.request_count(), 1);
}

#[tokio::test]
async fn a_closed_idle_connection_is_replaced() {
    let closing = vec![Step::AnswerAndClose(WRITTEN.to_vec())];
    let fresh = vec![Step::Answer(WRITTEN.to_vec())];
    let server = ScriptedServer::start(vec![closing, fresh]).await;
    let kv = server.kv();
    assert!(kv.txn(put()).await.is_ok());
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert!(kv.txn(put()).await.is_ok());
    assert_eq!(server.request_count(), 2);
}

#[tokio::test]
async fn a_silent_idle_connection_fails_one_call_only() {
    let silent = vec![Step::Answer(WRITTEN.to_vec()), Step::Silence];
    let fresh = vec![Step::Answer(WRITTEN.to_vec())];
    let server = ScriptedServer::start(vec![silent, fresh]).await;
    let kv = server.kv();
    assert!(kv.txn(put()).await.is_ok());
    let failed = kv.txn(put()).await;
    assert!(matches!(failed, Err(KvError::Unknown { .. })));
    assert!(kv.txn(put()).await.is_ok());
}

/// Guards against half an answer that is read as one with fewer keys or another outcome.
#[tokio::test]
async fn an_answer_that_ends_with_its_connection_counts_only_if_it_is_whole() {
    for length in 0..=WRITTEN.len() {
        let answer = vec![Step::Unframed(WRITTEN[..length].to_vec())];
        let server = ScriptedServer::start(vec![answer.clone(), answer]).await;
        let kv = server.kv();
        let (written, read) = (kv.txn(put()).await, kv.range("/").await);
        if length == WRITTEN.len() {
            assert!(written.unwrap().succeeded);
            assert!(read.unwrap().pairs.is_empty());
        } else {
            assert!(
                matches!(written, Err(KvError::Unknown { .. })),
                "{written:?}"
            );
            assert!(matches!(read, Err(KvError::Unknown { .. })), "{read:?}");
        }
    }
}

#[tokio::test]
async fn a_watch_passes_on_events_and_ends_with_an_error() {
    let lines = concat!(
        r#"{"result":{"header":{"revision":"9"},"created":true}}"#,
        "\n",
        r#"{"result":{"header":{"revision":"9"},"events":["#,
        r#"{"kv":{"key":"L2E=","value":"eA==","create_revision":"8","mod_revision":"8"}},"#,
        r#"{"type":"DELETE","kv":{"key":"L2E=","mod_revision":9}}]}}"#,
        "\n",
        r#"{"result":{"canceled":true,"compact_revision":"5"}}"#,
        "\n",
    );
    let server = ScriptedServer::start(vec![vec![Step::Answer(lines.into())]]).await;
    let seen: Vec<_> = server.kv().watch("/", 1).collect().await;
    assert!(matches!(&seen[0], Ok(Event::Put(pair)) if pair.key == "/a" && pair.value == "x"));
    assert_eq!(seen[1], Ok(Event::Delete("/a".to_owned(), 9)));
    assert_eq!(seen[2], Ok(Event::Progress(9)));
    assert_eq!(seen[3], Err(KvError::Compacted { revision: 5 }));
    assert_eq!(seen.len(), 4);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(32))]

    #[test]
    fn any_answer_is_read_without_panic(body in any::<Vec<u8>>(), text in "[{}\":a-zA-Z0-9,\n]{0,80}") {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        runtime.block_on(async {
            let steps = [body, text.into_bytes()].map(|body| vec![Step::AnswerAndClose(body)]);
            let server = ScriptedServer::start(steps.into()).await;
            let _ = server.kv().txn(put()).await;
            let _ = server.kv().watch("/", 1).collect::<Vec<_>>().await;
        });
    }
}

/// Guards against a configuration that can't be read while a key of another writer stands beside it.
#[tokio::test]
async fn keys_that_are_no_text_leave_the_others_alone() {
    // The keys are `/a`, the byte 0xff and `/b`.
    let range =
        br#"{"header":{"revision":"9"},"kvs":[{"key":"L2E=","value":"eA==","mod_revision":"3"},
        {"key":"/w==","value":"eA==","mod_revision":"4"},{"key":"L2I=","mod_revision":"5"}]}"#;
    let watch = br#"{"result":{"header":{"revision":"9"},"events":[
        {"kv":{"key":"/w==","mod_revision":"7"}},{"type":"DELETE","kv":{"key":"/w==","mod_revision":"8"}},
        {"type":"DELETE","kv":{"key":"L2E=","mod_revision":"9"}}]}}"#;
    let watch = [watch.to_vec(), b"\n".to_vec()].concat();
    let watch = String::from_utf8(watch).unwrap().replace("\n  ", "");
    let answers = vec![Step::Answer(range.to_vec())];
    let events = vec![Step::Unframed(watch.into_bytes())];
    let server = ScriptedServer::start(vec![answers, events]).await;
    let listed = server.kv().range("").await.unwrap();
    let keys: Vec<&str> = listed.pairs.iter().map(|pair| &*pair.key).collect();
    assert_eq!((keys, listed.revision), (vec!["/a", "/b"], 9));

    let events = server.kv().watch("", 1).take(2).collect::<Vec<_>>().await;
    let events: Result<Vec<Event>, KvError> = events.into_iter().collect();
    let deleted = Event::Delete("/a".to_owned(), 9);
    assert_eq!(events, Ok(vec![deleted, Event::Progress(9)]));
}
