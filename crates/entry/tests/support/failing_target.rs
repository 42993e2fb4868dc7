//! A target with few places that fails if it has to refuse too many calls.

use {
    super::{
        put,
        target::{respond, serve_until},
    },
    bytes::Bytes,
    http_body_util::Full,
    hyper::{Request, Response, body::Incoming, header::HeaderValue},
    keyvalue::MemoryKv,
    standin::Places,
    std::{net::SocketAddr, time::Duration},
    tokio::{net::TcpListener, time::sleep},
};

/// Number of calls that the target runs concurrently.
pub const PLACES_COUNT: usize = 6;
/// Time that the target takes for a call.
pub const WORK: Duration = Duration::from_millis(150);
/// Calls that may wait at first.
const LONG_QUEUE: usize = 24;
/// Calls that may wait once the target has shortened its queue.
const SHORT_QUEUE: usize = 2;
/// Time for which the target is away after it failed.
const DOWN_TIME: Duration = Duration::from_secs(4);

/// What the target registers besides its start.
struct Registration {
    name: String,
    address: SocketAddr,
    places_count: usize,
}

/// A running target. It registers itself, and again after each failure.
#[derive(Clone)]
pub struct FailingTarget {
    pub places: Places,
}

impl FailingTarget {
    /// Starts a target that is registered under `name`, as one that runs `places_count` calls
    /// concurrently.
    pub async fn start(kv: &MemoryKv, name: &str, places_count: usize) -> Self {
        let target = Self {
            places: Places::new(PLACES_COUNT, LONG_QUEUE),
        };
        let mut listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let registration = Registration {
            name: name.to_owned(),
            address: listener.local_addr().unwrap(),
            places_count,
        };
        target.register(kv, &registration).await;
        let (shared, kv) = (target.clone(), kv.peer());
        tokio::spawn(async move {
            loop {
                let answering = shared.clone();
                let answer = move |request| {
                    let target = answering.clone();
                    async move { target.answer(&request).await }
                };
                serve_until(listener, shared.places.failed(), answer).await;
                sleep(DOWN_TIME).await;
                listener = TcpListener::bind(registration.address).await.unwrap();
                shared.places.restart();
                shared.register(&kv, &registration).await;
            }
        });
        target
    }

    /// Lets fewer calls wait.
    pub fn shorten_queue(&self) {
        self.places.set_max_waiting(SHORT_QUEUE);
    }

    async fn register(&self, kv: &MemoryKv, registration: &Registration) {
        let start = 1 + self.places.failures_count();
        let (address, places_count) = (registration.address, registration.places_count);
        let value = format!("{address} 1 v1 {start} - {places_count}");
        put(kv, &format!("targets/{}", registration.name), &value).await;
    }

    async fn answer(&self, request: &Request<Incoming>) -> Response<Full<Bytes>> {
        if ["/events", "/report"].contains(&request.uri().path()) {
            return respond(500, String::new());
        }
        let sender = request.headers().get("sender");
        let sender = sender.and_then(|it| it.to_str().ok()).unwrap_or_default();
        let Some(_place) = self.places.enter(sender).await else {
            let mut refusal = respond(503, String::new());
            let headers = refusal.headers_mut();
            headers.insert("not-run", HeaderValue::from(1));
            return self.with_bound(refusal);
        };
        sleep(WORK).await;
        self.with_bound(respond(200, "done".to_owned()))
    }

    fn with_bound(&self, mut response: Response<Full<Bytes>>) -> Response<Full<Bytes>> {
        if let Some(max_refusals_per_s) = self.places.max_refusals_per_s() {
            let headers = response.headers_mut();
            headers.insert("max-refusals", HeaderValue::from(max_refusals_per_s));
        }
        response
    }
}
