//! Runs entry instances on an in-memory key-value service, with test formats and test targets.
#![allow(dead_code, reason = "each test file uses a part")]

pub mod copying_server;
pub mod crashing_fleet;
pub mod crashing_target;
pub mod failing_target;
pub mod follower_fleet;
pub mod formats;
pub mod late_target;
pub mod part_store;
pub mod path_target;
pub mod returning_fleet;
pub mod stating_target;
pub mod stream_target;
pub mod target;

use {
    bytes::Bytes,
    entry::Settings,
    eventlog::EventLog,
    formats::Formats,
    http_body_util::{BodyExt, Full},
    hyper::{HeaderMap, Method, Request, client::conn::http1},
    hyper_util::rt::TokioIo,
    keyvalue::{KeyValue, MemoryKv, Op, Txn},
    std::{
        io::{self, Write},
        net::{SocketAddr, TcpListener},
        sync::{
            Arc, Mutex,
            atomic::{AtomicU16, AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::{net::TcpStream, task::JoinHandle, time::sleep},
    tokio_util::sync::CancellationToken,
};

/// First port of the instances of all test processes.
const FIRST_PORT: u16 = 21_000;
/// Number of ports of one test process. More than its tests use, since a port may be taken again
/// before its first instance listens on it.
const PORTS_COUNT: u16 = 250;
/// Number of ranges of ports among which test processes are spread.
const PORT_RANGES_COUNT: u32 = 45;
/// Time after which [`wait_until`] gives up.
const WAIT_LIMIT: Duration = Duration::from_secs(20);

/// A running instance.
pub struct Instance {
    pub settings: Settings,
    pub stop: CancellationToken,
    pub ended: JoinHandle<Result<(), entry::StartError>>,
    /// Address at which the instance finds every target while it is cut off.
    pub unreachable: Arc<Mutex<Option<SocketAddr>>>,
    lines: Lines,
}

/// Buffer for the event log of an instance.
#[derive(Clone, Default)]
struct Lines(Arc<Mutex<Vec<u8>>>);

impl Lines {
    /// Returns the lines that contain `text`.
    fn containing(&self, text: &str) -> Vec<String> {
        let bytes = self.0.lock().unwrap();
        let written = String::from_utf8_lossy(&bytes);
        let lines = written.lines().filter(|line| line.contains(text));
        lines.map(str::to_owned).collect()
    }
}

impl Write for Lines {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// A response as received by the caller.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub headers: HeaderMap,
    pub body: String,
}

/// A call as its caller sends it again and again, each time with another request id.
#[derive(Clone, Debug, Default)]
pub struct OutgoingCall {
    method: Method,
    path: String,
    /// Key of the client account; empty if the route needs none.
    key: String,
    /// Comma-separated parts of the prompt; empty for a plain call.
    parts: String,
    body: String,
}

impl OutgoingCall {
    /// A plain call without a body.
    pub fn get(path: &str) -> Self {
        Self {
            path: path.to_owned(),
            ..Self::default()
        }
    }

    /// A plain call with a body.
    pub fn post(path: &str, body: &str) -> Self {
        Self {
            method: Method::POST,
            path: path.to_owned(),
            body: body.to_owned(),
            ..Self::default()
        }
    }

    /// A prompt of the comma-separated `parts`, whose text is the body.
    pub fn prompt(parts: &str) -> Self {
        Self {
            parts: parts.to_owned(),
            ..Self::post("/prompts/", &format!("text of {parts}"))
        }
    }

    /// Sets the path.
    pub fn path(mut self, path: &str) -> Self {
        path.clone_into(&mut self.path);
        self
    }

    /// Sets the key of the client account.
    pub fn key(mut self, key: &str) -> Self {
        key.clone_into(&mut self.key);
        self
    }

    /// Sends the call with a new request id to the instance at `address`; returns the status of its
    /// answer.
    pub fn send_to(&self, address: SocketAddr) -> impl Future<Output = Option<u16>> + use<> {
        static NEXT_ID: AtomicUsize = AtomicUsize::new(0);
        let id = format!("call-{}", NEXT_ID.fetch_add(1, Ordering::Relaxed));
        let mut request = Request::builder().method(&self.method).uri(&self.path);
        request = request.header("host", "a.example").header("id", id);
        for (name, value) in [("key", &self.key), ("parts", &self.parts)] {
            if !value.is_empty() {
                request = request.header(name, value);
            }
        }
        let request = request.body(Full::from(self.body.clone())).unwrap();
        async move { Some(send(address, request).await?.status) }
    }
}

impl Instance {
    /// Starts an instance on free ports.
    pub fn start(name: &str, kv: MemoryKv) -> Self {
        Self::start_with(settings(name), kv)
    }

    /// Starts an instance with these settings.
    pub fn start_with(settings: Settings, kv: MemoryKv) -> Self {
        let stop = CancellationToken::new();
        let lines = Lines::default();
        let log = EventLog::start(lines.clone());
        let formats = Formats {
            instance: settings.instance.clone(),
            ..Formats::default()
        };
        let unreachable = formats.unreachable.clone();
        let run = entry::run(settings.clone(), kv, formats, log, stop.clone());
        let ended = tokio::spawn(async move {
            let ended = run.await;
            if let Err(error) = &ended {
                println!("instance ended: {error}");
            }
            ended
        });
        Self {
            settings,
            stop,
            ended,
            unreachable,
            lines,
        }
    }

    /// Returns the log lines that contain `text`.
    pub fn lines(&self, text: &str) -> Vec<String> {
        self.lines.containing(text)
    }

    pub async fn is_ready(&self) -> bool {
        let got = get(self.settings.ready_listen, "/ready", &[]).await;
        got.is_some_and(|got| got.status == 200)
    }

    /// Queries the addresses that callers are told to use.
    pub async fn addresses(&self) -> Vec<String> {
        self.addresses_for("").await
    }

    /// Queries the addresses that a caller is told to use who asks `HOST,REGION`.
    pub async fn addresses_for(&self, query: &str) -> Vec<String> {
        let path = format!("/addresses?{query}");
        let got = get(self.settings.directory_listen, &path, &[]).await;
        let body = got.unwrap_or_default().body;
        body.split_whitespace().map(str::to_owned).collect()
    }

    /// Returns all metrics of the instance.
    pub async fn metrics(&self) -> String {
        let got = get(self.settings.directory_listen, "/metrics", &[]).await;
        got.unwrap_or_default().body
    }

    /// Sends a call; returns status and body.
    pub async fn call(&self, path: &str) -> Option<(u16, String)> {
        let got = self.answer(path).await?;
        Some((got.status, got.body))
    }

    /// Sends a prompt of the comma-separated `parts`; returns the status of its answer.
    pub async fn prompt(&self, id: &str, parts: &str) -> Option<u16> {
        let headers = [("host", "a.example"), ("id", id), ("parts", parts)];
        let got = get(self.settings.listen, "/prompts/", &headers).await?;
        Some(got.status)
    }

    /// Sends a call with a new request id; returns the status of its answer.
    pub async fn send(&self, call: &OutgoingCall) -> Option<u16> {
        self.sent(call).await
    }

    /// Sends a call as [`Instance::send`] does, without borrowing the instance.
    pub fn sent(&self, call: &OutgoingCall) -> impl Future<Output = Option<u16>> + use<> {
        call.send_to(self.settings.listen)
    }

    /// Begins a stream; returns the status of its answer, if that is whole.
    pub async fn begin_stream(&self, id: &str) -> Option<u16> {
        self.stream(&[("id", id)]).await
    }

    /// Takes up after its first event the stream that the call `begun` began; returns the status of
    /// the answer, if that is whole.
    pub async fn resume_stream(&self, id: &str, begun: &str) -> Option<u16> {
        let headers = [("id", id), ("resumes", begun), ("last-event-id", "1")];
        self.stream(&headers).await
    }

    async fn stream(&self, headers: &[(&str, &str)]) -> Option<u16> {
        let mut all = vec![("host", "a.example")];
        all.extend_from_slice(headers);
        let got = get(self.settings.listen, "/prompts/", &all).await?;
        Some(got.status)
    }

    /// Sends a call; returns the whole response.
    pub async fn answer(&self, path: &str) -> Option<Answer> {
        let headers = [("host", "a.example"), ("id", "c1")];
        get(self.settings.listen, path, &headers).await
    }
}

/// Sends a call to the instance at `address`; returns the status of its answer.
pub async fn call_at(address: SocketAddr, path: &str) -> Option<u16> {
    let headers = [("host", "a.example"), ("id", "c1")];
    get(address, path, &headers).await.map(|got| got.status)
}

/// Waits until `check` returns true; panics after [`WAIT_LIMIT`].
pub async fn wait_until<Check, CheckFuture>(what: &str, mut check: Check)
where
    Check: FnMut() -> CheckFuture,
    CheckFuture: Future<Output = bool>,
{
    let rounds = WAIT_LIMIT.as_millis() / 20;
    for _ in 0..rounds {
        if check().await {
            return;
        }
        sleep(Duration::from_millis(20)).await;
    }
    panic!("timed out waiting for {what}");
}

/// Writes a key without a lease, as operators and targets do.
pub async fn put(kv: &MemoryKv, key: &str, value: &str) {
    let put = Op::Put(
        key.to_owned(),
        Bytes::copy_from_slice(value.as_bytes()),
        None,
    );
    let write = Txn {
        success: vec![put],
        ..Txn::default()
    };
    kv.txn(write).await.unwrap();
}

/// Deletes a key.
pub async fn delete(kv: &MemoryKv, key: &str) {
    let write = Txn {
        success: vec![Op::Delete(key.to_owned())],
        ..Txn::default()
    };
    kv.txn(write).await.unwrap();
}

/// Changes a key that nobody uses again and again, so that instances know that what they have read is
/// current. The service in memory tells them only with a change.
pub fn keep_current(kv: &MemoryKv) {
    let kv = kv.peer();
    tokio::spawn(async move {
        for count in 0.. {
            put(&kv, "unused", &format!("{count}")).await;
            sleep(Duration::from_millis(500)).await;
        }
    });
}

async fn get(address: SocketAddr, path: &str, headers: &[(&str, &str)]) -> Option<Answer> {
    let mut builder = Request::get(path);
    for (name, value) in headers {
        builder = builder.header(*name, *value);
    }
    send(address, builder.body(Full::default()).unwrap()).await
}

async fn send(address: SocketAddr, request: Request<Full<Bytes>>) -> Option<Answer> {
    let stream = TcpStream::connect(address).await.ok()?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(connection);
    let response = sender.send_request(request).await.ok()?;
    let (head, body) = response.into_parts();
    let body = body.collect().await.ok()?.to_bytes();
    Some(Answer {
        status: head.status.as_u16(),
        headers: head.headers,
        body: String::from_utf8_lossy(&body).into_owned(),
    })
}

/// Returns a free address, with a port below the system's ephemeral range: an ephemeral port may be
/// taken by a connection before the instance listens on it.
fn free_address() -> SocketAddr {
    static NEXT_PORT: AtomicU16 = AtomicU16::new(0);
    let process = u16::try_from(std::process::id() % PORT_RANGES_COUNT).unwrap();
    let first = FIRST_PORT + process * PORTS_COUNT;
    loop {
        let offset = NEXT_PORT.fetch_add(1, Ordering::Relaxed) % PORTS_COUNT;
        let address = SocketAddr::from(([127, 0, 0, 1], first + offset));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// Returns the settings of an instance on free ports.
pub fn settings(name: &str) -> Settings {
    let addresses: Vec<SocketAddr> = (0..5).map(|_| free_address()).collect();
    let address = |index: usize| addresses[index];
    let text = format!(
        r#"{{"instance":"{name}","region":"r","failure_domain":"a","listen":"{}",
            "ready_listen":"{}","directory_listen":"{}","feed_listen":"{}","peer_listen":"{}","kv_endpoint":"127.0.0.1:1","memory_mb":100,
            "max_descriptors_count":1000,"grace_s":3,"max_address_age_s":5,"order_gap_ms":300,
            "version_ms":8000,"min_lease_ms":1000,"retries_per_call":0.2,"retry_window_s":10,
            "retry_slack_count":50}}"#,
        address(0),
        address(1),
        address(2),
        address(3),
        address(4),
    );
    Settings::parse(text.as_bytes()).unwrap()
}
