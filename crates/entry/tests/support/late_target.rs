//! A target that executes some of its orders late or never, without a response.

use {
    super::target::{respond, serve},
    bytes::Bytes,
    http_body_util::Full,
    hyper::{Request, Response, body::Incoming},
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard},
        time::Duration,
    },
    tokio::{net::TcpListener, time::sleep},
};

/// Time that loading weights takes.
const LOADING_TIME: Duration = Duration::from_millis(430);
/// Age of the state that a report shows.
const REPORT_AGE: Duration = Duration::from_millis(200);
/// Range of the delay of late orders, in milliseconds.
const LATE_MS: std::ops::Range<u64> = 2_000..12_000;

/// How a target treats its orders.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum OrderHandling {
    /// This share of the orders gets no response and is executed late.
    Late(f64),
    /// No order gets a response or is executed.
    Lost,
}

/// State that a target reports.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct State {
    pub version: u64,
    pub busy: bool,
    pub accepted_count: u64,
}

/// What happened to a target's orders.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Loaded versions, in order.
    pub loaded: Vec<u64>,
    /// Number of orders that arrived.
    pub arrived_count: u64,
    /// Number of late orders that have been executed or refused.
    pub late_count: u64,
}

struct Inner {
    state: State,
    reported: State,
    history: History,
    rng: StdRng,
}

/// A running target.
#[derive(Clone)]
pub struct LateTarget {
    pub address: SocketAddr,
    handling: OrderHandling,
    inner: Arc<Mutex<Inner>>,
}

impl LateTarget {
    /// Starts a target with version 1.
    pub async fn start(handling: OrderHandling, seed: u64) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let state = State {
            version: 1,
            ..State::default()
        };
        let target = Self {
            address: listener.local_addr().unwrap(),
            handling,
            inner: Arc::new(Mutex::new(Inner {
                state,
                reported: state,
                history: History::default(),
                rng: StdRng::seed_from_u64(seed),
            })),
        };
        let shared = target.clone();
        serve(listener, move |request| {
            let shared = shared.clone();
            async move { shared.answer(&request).await }
        });
        target
    }

    /// Returns the version that the target has loaded.
    pub fn version(&self) -> u64 {
        self.lock().state.version
    }

    /// Returns what has happened so far.
    pub fn history(&self) -> History {
        self.lock().history.clone()
    }

    async fn answer(&self, request: &Request<Incoming>) -> Response<Full<Bytes>> {
        let path = request.uri().path();
        if path == "/report" {
            let state = self.lock().reported;
            let State {
                version,
                busy,
                accepted_count,
            } = state;
            return respond(200, format!("{version} {busy} {accepted_count}"));
        }
        let Some(order) = path.strip_prefix("/order/") else {
            return respond(500, String::new());
        };
        let fields: Vec<&str> = order.split('/').collect();
        let version = fields[2].parse().unwrap();
        let accepted_before = fields[3].parse().unwrap();
        let Some(late) = self.lateness().await else {
            return respond(self.carry_out(version, accepted_before), String::new());
        };
        let target = self.clone();
        // A separate task, so the order is executed even if the sender gives up.
        tokio::spawn(async move {
            sleep(late).await;
            target.lock().history.late_count += 1;
            target.carry_out(version, accepted_before);
        });
        std::future::pending().await
    }

    /// Returns the delay of an order that arrives now, or `None` if it is not late. Never returns
    /// if the orders are lost.
    async fn lateness(&self) -> Option<Duration> {
        self.lock().history.arrived_count += 1;
        let OrderHandling::Late(share) = self.handling else {
            return std::future::pending().await;
        };
        let mut inner = self.lock();
        let is_late = inner.rng.random_bool(share);
        is_late.then(|| Duration::from_millis(inner.rng.random_range(LATE_MS)))
    }

    /// Starts loading, unless the order's precondition fails. Returns the HTTP status.
    fn carry_out(&self, version: u64, accepted_before: u64) -> u16 {
        let mut inner = self.lock();
        if inner.state.busy || inner.state.accepted_count != accepted_before {
            return 409;
        }
        if inner.state.version == version {
            return 200;
        }
        inner.state.busy = true;
        inner.state.accepted_count += 1;
        drop(inner);
        self.report_later();
        let target = self.clone();
        tokio::spawn(async move {
            sleep(LOADING_TIME).await;
            let mut inner = target.lock();
            inner.state.busy = false;
            inner.state.version = version;
            inner.history.loaded.push(version);
            drop(inner);
            target.report_later();
        });
        202
    }

    fn report_later(&self) {
        let target = self.clone();
        let state = target.lock().state;
        tokio::spawn(async move {
            sleep(REPORT_AGE).await;
            target.lock().reported = state;
        });
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap()
    }
}
