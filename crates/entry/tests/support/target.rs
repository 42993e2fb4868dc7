//! A target that answers calls, reports its version and accepts orders.

use {
    bytes::Bytes,
    http_body_util::Full,
    hyper::{
        Request, Response, body::Incoming, header::HeaderValue, server::conn::http1,
        service::service_fn,
    },
    hyper_util::rt::TokioIo,
    std::{
        convert::Infallible,
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{net::TcpListener, time::sleep},
    tokio_util::sync::CancellationToken,
};

/// Duration of a call to a path below `/slow/`.
pub const SLOW_WORK: Duration = Duration::from_millis(2_900);

/// An order as received.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    pub holder: String,
    pub fencing: u64,
    pub version: u64,
}

/// A running target.
#[derive(Clone)]
pub struct Target {
    pub address: SocketAddr,
    orders: Arc<Mutex<Vec<Order>>>,
    calls_count: Arc<AtomicUsize>,
    /// Requests for changes of the parts that the target holds.
    events_requests_count: Arc<AtomicUsize>,
    /// Time of arrival of each call.
    arrivals: Arc<Mutex<Vec<Instant>>>,
    /// Request line and headers of each call, as text for a test that fails.
    heads: Arc<Mutex<Vec<String>>>,
    /// Place from which each call was to fetch a part of its prompt, if any.
    fetches: Arc<Mutex<Vec<Option<SocketAddr>>>>,
    /// Calls per second that the target states as its limit.
    limit_per_s: Arc<Mutex<Option<f64>>>,
    /// Whether all answers state that the target is about to exit.
    is_leaving: Arc<AtomicBool>,
    /// Time in seconds that the target names when it refuses a call; `None` while it refuses none.
    retry_after_s: Arc<Mutex<Option<f64>>>,
}

impl Target {
    /// Starts a target that takes `work` for each call.
    pub async fn start(work: Duration) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let target = Self {
            address: listener.local_addr().unwrap(),
            orders: Arc::default(),
            calls_count: Arc::default(),
            events_requests_count: Arc::default(),
            arrivals: Arc::default(),
            heads: Arc::default(),
            fetches: Arc::default(),
            limit_per_s: Arc::default(),
            is_leaving: Arc::default(),
            retry_after_s: Arc::default(),
        };
        let shared = target.clone();
        serve(listener, move |request| {
            let shared = shared.clone();
            async move {
                let mut answer = shared.answer(&request, work).await;
                if shared.is_leaving.load(Ordering::Relaxed) {
                    let leaving = HeaderValue::from_static("1");
                    answer.headers_mut().insert("leaving", leaving);
                }
                if let Some(limit_per_s) = *shared.limit_per_s.lock().unwrap() {
                    let limit = limit_per_s.to_string().parse().unwrap();
                    answer.headers_mut().insert("limit", limit);
                }
                answer
            }
        });
        target
    }

    /// Returns the orders that have arrived.
    pub fn orders(&self) -> Vec<Order> {
        self.orders.lock().unwrap().clone()
    }

    /// Returns the number of calls that have arrived.
    pub fn calls_count(&self) -> usize {
        self.calls_count.load(Ordering::Relaxed)
    }

    /// Returns the number of requests for changes of the parts that the target holds.
    pub fn events_requests_count(&self) -> usize {
        self.events_requests_count.load(Ordering::Relaxed)
    }

    /// Returns the times at which calls have arrived.
    pub fn arrivals(&self) -> Vec<Instant> {
        self.arrivals.lock().unwrap().clone()
    }

    /// Returns request line and headers of each call that has arrived, as text for a test that fails.
    pub fn heads(&self) -> Vec<String> {
        self.heads.lock().unwrap().clone()
    }

    /// Returns the place from which the latest call was to fetch a part of its prompt, if any.
    pub fn last_fetch(&self) -> Option<SocketAddr> {
        self.fetches.lock().unwrap().last().copied().flatten()
    }

    /// Sets the limit that all further answers state; `None` states none.
    pub fn set_limit(&self, limit_per_s: Option<f64>) {
        *self.limit_per_s.lock().unwrap() = limit_per_s;
    }

    /// Sets whether all further answers state that the target is about to exit.
    pub fn set_leaving(&self, is_leaving: bool) {
        self.is_leaving.store(is_leaving, Ordering::Relaxed);
    }

    /// Sets the time that the target names in refusals of all further calls; `None` to serve them.
    pub fn set_retry_after(&self, retry_after_s: Option<f64>) {
        *self.retry_after_s.lock().unwrap() = retry_after_s;
    }

    async fn answer(&self, request: &Request<Incoming>, work: Duration) -> Response<Full<Bytes>> {
        let path = request.uri().path();
        if path == "/report" {
            let version = self.orders().last().map_or(1, |order| order.version);
            return respond(200, version.to_string());
        }
        if let Some(order) = path.strip_prefix("/order/") {
            let fields: Vec<&str> = order.split('/').collect();
            self.orders.lock().unwrap().push(Order {
                holder: fields[0].to_owned(),
                fencing: fields[1].parse().unwrap(),
                version: fields[2].parse().unwrap(),
            });
            return respond(202, String::new());
        }
        if path == "/events" {
            self.events_requests_count.fetch_add(1, Ordering::Relaxed);
            return respond(500, String::new());
        }
        self.calls_count.fetch_add(1, Ordering::Relaxed);
        self.arrivals.lock().unwrap().push(Instant::now());
        let head = format!("{} {path} {:?}", request.method(), request.headers());
        self.heads.lock().unwrap().push(head);
        if let Some(retry_after_s) = *self.retry_after_s.lock().unwrap() {
            let refusal = Response::builder().status(503).header("not-run", "1");
            let refusal = refusal.header("retry-after", retry_after_s.to_string());
            return refusal.body(Full::default()).unwrap();
        }
        let fetch = request.headers().get("fetch");
        let fetch = fetch.map(|place| place.to_str().unwrap().parse().unwrap());
        self.fetches.lock().unwrap().push(fetch);
        let work = if path.starts_with("/slow/") {
            SLOW_WORK
        } else {
            work
        };
        sleep(work).await;
        respond(200, "done".to_owned())
    }
}

/// Builds a response.
pub fn respond(status: u16, body: String) -> Response<Full<Bytes>> {
    let response = Response::builder().status(status);
    response.body(Full::new(Bytes::from(body))).unwrap()
}

/// Answers each request that arrives at `listener` with what `answer` returns.
pub fn serve<Answer, Answering>(listener: TcpListener, answer: Answer)
where
    Answer: Fn(Request<Incoming>) -> Answering + Clone + Send + 'static,
    Answering: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    tokio::spawn(serve_until(listener, CancellationToken::new(), answer));
}

/// Answers requests as [`serve`] does until `end` is cancelled, which also ends all connections.
pub async fn serve_until<Answer, Answering>(
    listener: TcpListener,
    end: CancellationToken,
    answer: Answer,
) where
    Answer: Fn(Request<Incoming>) -> Answering + Clone + Send + 'static,
    Answering: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    while let Some(Ok((stream, _))) = end.run_until_cancelled(listener.accept()).await {
        let answer = answer.clone();
        let service = service_fn(move |request| {
            let answering = answer(request);
            async move { Ok::<_, Infallible>(answering.await) }
        });
        let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        let end = end.clone();
        tokio::spawn(async move { end.run_until_cancelled(served).await });
    }
}

/// The largest number of `arrivals` within one window.
pub fn most_in_window(arrivals: &[Instant], window: Duration) -> usize {
    let in_window_from = |first: &Instant| {
        let later = arrivals.iter().filter(|at| *at >= first);
        later
            .filter(|at| at.duration_since(*first) < window)
            .count()
    };
    arrivals.iter().map(in_window_from).max().unwrap_or(0)
}
