//! A target that states that it leaves, wants no calls or bears few refusals, and records what reaches it nevertheless.

use {
    super::target::{respond, serve},
    bytes::Bytes,
    http_body_util::Full,
    hyper::{Request, Response, body::Incoming},
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard},
        time::{Duration, Instant},
    },
    tokio::{net::TcpListener, time::sleep},
};

/// Time that the target takes for a call.
const WORK: Duration = Duration::from_millis(15);

/// What the target did with a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    Served,
    /// Served by a target that stated that it leaves.
    ServedLeaving,
    /// Refused for this time.
    Refused(Duration),
    /// Refused without a time, since the target is full.
    RefusedFull,
}

/// A call that arrived.
#[derive(Clone, Debug)]
pub struct Exchange {
    /// Instance that sent it.
    pub sender: String,
    /// Number of earlier starts of the target under its id.
    pub start: u64,
    pub arrived: Instant,
    pub answered: Instant,
    pub outcome: Outcome,
    /// Refusals per second that the answer says the target bears.
    pub max_refusals_per_s: Option<f64>,
}

#[derive(Debug, Default)]
struct State {
    start: u64,
    is_leaving: bool,
    /// Calls are refused until then.
    refuses_until: Option<Instant>,
    /// Calls are refused until then, without a time.
    full_until: Option<Instant>,
    limit_per_s: Option<f64>,
    max_refusals_per_s: Option<f64>,
    exchanges: Vec<Exchange>,
}

/// A running target.
#[derive(Clone)]
pub struct StatingTarget {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl StatingTarget {
    pub async fn start() -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let target = Self {
            address: listener.local_addr().unwrap(),
            state: Arc::default(),
        };
        let shared = target.clone();
        serve(listener, move |request| {
            let shared = shared.clone();
            async move { shared.answer(&request).await }
        });
        target
    }

    /// Registration under the present start.
    pub fn registration(&self) -> String {
        format!("{} 1 v1 {}", self.address, 1 + self.lock().start)
    }

    /// States from now on that it leaves.
    pub fn leave(&self) {
        self.lock().is_leaving = true;
    }

    /// Starts again under its id.
    pub fn restart(&self) {
        let mut state = self.lock();
        state.start += 1;
        state.is_leaving = false;
        state.refuses_until = None;
        state.full_until = None;
        state.max_refusals_per_s = None;
    }

    /// Refuses all calls for a time, which it names.
    pub fn refuse_for(&self, time: Duration) {
        self.lock().refuses_until = Some(Instant::now() + time);
    }

    /// States how many refusals it bears, and refuses all calls for a time that it does not name.
    pub fn fill_for(&self, time: Duration, max_refusals_per_s: f64) {
        let mut state = self.lock();
        state.full_until = Some(Instant::now() + time);
        state.max_refusals_per_s = Some(max_refusals_per_s);
    }

    /// States no more how many refusals it bears.
    pub fn bear_all_refusals(&self) {
        self.lock().max_refusals_per_s = None;
    }

    pub fn set_limit(&self, limit_per_s: Option<f64>) {
        self.lock().limit_per_s = limit_per_s;
    }

    /// All calls that have been answered.
    pub fn exchanges(&self) -> Vec<Exchange> {
        self.lock().exchanges.clone()
    }

    async fn answer(&self, request: &Request<Incoming>) -> Response<Full<Bytes>> {
        let arrived = Instant::now();
        if ["/events", "/report"].contains(&request.uri().path()) {
            return respond(500, String::new());
        }
        let start = self.lock().start;
        let refusal = self.lock().refusal(arrived);
        if refusal.is_none() {
            sleep(WORK).await;
        }
        let mut state = self.lock();
        let outcome = match refusal {
            Some(refusal) => refusal,
            None if state.is_leaving => Outcome::ServedLeaving,
            None => Outcome::Served,
        };
        let max_refusals_per_s = state.max_refusals_per_s;
        let sender = request.headers().get("sender");
        let sender = sender.and_then(|sender| sender.to_str().ok());
        state.exchanges.push(Exchange {
            sender: sender.unwrap_or_default().to_owned(),
            start,
            arrived,
            answered: Instant::now(),
            outcome,
            max_refusals_per_s,
        });
        response(&state, outcome)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }
}

impl State {
    /// How a call that arrives now is refused, if it is.
    fn refusal(&self, now: Instant) -> Option<Outcome> {
        let time_left = |until: Option<Instant>| until?.checked_duration_since(now);
        let refused = time_left(self.refuses_until).map(Outcome::Refused);
        refused.or_else(|| time_left(self.full_until).map(|_| Outcome::RefusedFull))
    }
}

fn response(state: &State, outcome: Outcome) -> Response<Full<Bytes>> {
    let mut response = match outcome {
        Outcome::Refused(time) => {
            let refusal = Response::builder().status(503).header("not-run", "1");
            refusal.header("retry-after", time.as_secs_f64().to_string())
        }
        Outcome::RefusedFull => Response::builder().status(503).header("not-run", "1"),
        Outcome::Served | Outcome::ServedLeaving => Response::builder().status(200),
    };
    if state.is_leaving {
        response = response.header("leaving", "1");
    }
    if let Some(limit_per_s) = state.limit_per_s {
        response = response.header("limit", limit_per_s.to_string());
    }
    if let Some(max_refusals_per_s) = state.max_refusals_per_s {
        response = response.header("max-refusals", max_refusals_per_s.to_string());
    }
    response.body(Full::default()).unwrap()
}
