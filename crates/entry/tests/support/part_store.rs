//! A store of cached prompt parts, which keeps every part until it is told to free it.

use {
    super::target::{respond, serve},
    bytes::Bytes,
    http_body_util::{BodyExt, Full},
    hyper::{Request, Response, body::Incoming},
    std::{
        fmt::Write,
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicUsize, Ordering},
        },
        time::Instant,
    },
    tokio::net::TcpListener,
};

/// A running store. Each of its changes is a line `SIGN SALT ID TOKENS`, which
/// [`super::formats::Formats`] parses.
#[derive(Clone)]
pub struct PartStore {
    pub address: SocketAddr,
    started: Instant,
    changes: Arc<Mutex<Vec<String>>>,
    freed: Arc<Mutex<Vec<String>>>,
    whole_reads_count: Arc<AtomicUsize>,
    sent_bytes: Arc<AtomicUsize>,
}

impl PartStore {
    /// Starts an empty store.
    pub async fn start() -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let store = Self {
            address: listener.local_addr().unwrap(),
            started: Instant::now(),
            changes: Arc::default(),
            freed: Arc::default(),
            whole_reads_count: Arc::default(),
            sent_bytes: Arc::default(),
        };
        let shared = store.clone();
        serve(listener, move |request| {
            let shared = shared.clone();
            async move { shared.answer(request).await }
        });
        store
    }

    /// Has the store hold a part.
    pub fn hold(&self, salt: &str, id: &str, tokens: u32) {
        let change = format!("+ {salt} {id} {tokens}");
        self.changes.lock().unwrap().push(change);
    }

    /// Salts and ids of the parts that instances asked to free.
    pub fn freed(&self) -> Vec<String> {
        self.freed.lock().unwrap().clone()
    }

    /// Number of requests for all changes from the first one on.
    pub fn whole_reads_count(&self) -> usize {
        self.whole_reads_count.load(Ordering::Relaxed)
    }

    /// Bytes of the changes sent to instances.
    pub fn sent_bytes(&self) -> usize {
        self.sent_bytes.load(Ordering::Relaxed)
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        if request.uri().path() == "/free" {
            let body = request.into_body().collect().await.unwrap().to_bytes();
            let text = String::from_utf8_lossy(&body);
            let freed = text.lines().map(str::to_owned);
            self.freed.lock().unwrap().extend(freed);
            return respond(200, String::new());
        }
        let since = request.headers()["since"].to_str().unwrap();
        let since: usize = since.parse().unwrap();
        if since == 0 {
            self.whole_reads_count.fetch_add(1, Ordering::Relaxed);
        }
        let changes = self.changes.lock().unwrap();
        let clock_ms = self.started.elapsed().as_millis();
        let mut body = format!("{} {clock_ms}\n", changes.len());
        for change in changes.iter().skip(since) {
            writeln!(body, "{change}").unwrap();
        }
        self.sent_bytes.fetch_add(body.len(), Ordering::Relaxed);
        respond(200, body)
    }
}
