//! Guards against requests failing, and targets being avoided, because open connections went
//! silent. Such connections must be replaced by new ones.

mod support;

use {
    http_body_util::BodyExt,
    hyper::Method,
    serde_json::{Value, json},
    standin::{Server, engine::EngineSettings, relay::Relay},
    std::{
        io,
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
    support::{
        http::Connection,
        objects::{CALLER_KEY, MODEL},
        test_system::{TestSystem, TestSystemSettings},
    },
    tokio::time::timeout,
    tokio_util::{sync::CancellationToken, task::TaskTracker},
};

const CALLERS_COUNT: usize = 8;
/// Answer tokens of each request and the time between two of them.
const ANSWER_TOKENS: usize = 20;
const TOKEN_TIME: Duration = Duration::from_millis(20);
/// How often all open connections to the engines go silent, and the time between two times.
const SILENCES_COUNT: usize = 4;
const SILENCE_INTERVAL: Duration = Duration::from_secs(3);
/// Longest wait of a caller for a complete answer, far beyond all timeouts of the daemon.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);

/// How a request ended for its caller.
#[derive(Clone, Debug, Eq, PartialEq)]
enum RequestEnd {
    /// With every token and the end marker.
    Whole,
    /// With an explicit error from the daemon.
    Failed(String),
    /// Without an end: [`ANSWER_TIMEOUT`] passed, or the connection was cut.
    Torn(String),
}

async fn request(address: SocketAddr) -> RequestEnd {
    let body = json!({
        "model": MODEL,
        "prompt": "which fault code matches",
        "max_tokens": ANSWER_TOKENS,
        "stream": true,
    });
    match timeout(ANSWER_TIMEOUT, read_answer(address, &body)).await {
        Ok(Ok(text)) if text.contains("data: [DONE]") => {
            let tokens_count = text.matches("\"text\":\"").count();
            assert!(
                tokens_count >= ANSWER_TOKENS,
                "short answer passed off as whole: {text}"
            );
            RequestEnd::Whole
        }
        Ok(Ok(text)) if text.contains("\"error\"") => RequestEnd::Failed(text),
        Ok(Ok(text)) => RequestEnd::Torn(text),
        Ok(Err(error)) => RequestEnd::Torn(error.to_string()),
        Err(_) => RequestEnd::Torn("no end".to_owned()),
    }
}

async fn read_answer(address: SocketAddr, body: &Value) -> io::Result<String> {
    let mut caller = Connection::open(address, CALLER_KEY).await?;
    let response = caller.send(Method::POST, "/v1/completions", body).await?;
    let bytes = response
        .into_body()
        .collect()
        .await
        .map_err(io::Error::other)?;
    Ok(String::from_utf8_lossy(&bytes.to_bytes()).into_owned())
}

async fn system() -> TestSystem {
    let mut settings = TestSystemSettings::new(env!("CARGO_BIN_EXE_rattand"));
    settings.entries_count = 1;
    settings.engines_count = 2;
    settings.relayed = true;
    settings.engine = EngineSettings {
        token_time: TOKEN_TIME,
        ..settings.engine
    };
    TestSystem::start(settings).await.unwrap()
}

/// Relays in front of the engines.
fn engine_relays(system: &TestSystem) -> &[Server<Relay>] {
    &system.relays[2..]
}

/// Makes every open connection to the engines silent. New connections work.
fn silence_open_connections(system: &TestSystem) {
    for relay in engine_relays(system) {
        relay.set_faults(&json!({ "mode": "blackhole" })).unwrap();
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn open_connection_stays_silent() {
    let system = system().await;
    let relay = engine_relays(&system)[0].role().address;
    let mut kept = Connection::open(relay, "").await.unwrap();
    assert!(
        kept.json(Method::GET, "/v1/load", &Value::Null)
            .await
            .is_ok()
    );
    silence_open_connections(&system);
    assert!(
        kept.json(Method::GET, "/v1/load", &Value::Null)
            .await
            .is_err()
    );
    let mut fresh = Connection::open(relay, "").await.unwrap();
    assert!(
        fresh
            .json(Method::GET, "/v1/load", &Value::Null)
            .await
            .is_ok()
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_continue_over_new_connections() {
    let system = system().await;
    let address = system.entries[0].address;
    let history = Arc::<Mutex<Vec<RequestEnd>>>::default();
    let (stop, callers) = (CancellationToken::new(), TaskTracker::new());
    for _ in 0..CALLERS_COUNT {
        let (stop, history) = (stop.clone(), history.clone());
        callers.spawn(async move {
            while !stop.is_cancelled() {
                let ended = request(address).await;
                history.lock().unwrap().push(ended);
            }
        });
    }
    for _ in 0..SILENCES_COUNT {
        tokio::time::sleep(SILENCE_INTERVAL).await;
        silence_open_connections(&system);
    }
    tokio::time::sleep(SILENCE_INTERVAL).await;
    stop.cancel();
    callers.close();
    callers.wait().await;
    let started = Instant::now();
    let last = request(address).await;
    let history = history.lock().unwrap();
    let torn: Vec<&RequestEnd> = history
        .iter()
        .filter(|ended| **ended != RequestEnd::Whole)
        .collect();
    println!(
        "{} requests, {} not whole, last {last:?} in {:?}",
        history.len(),
        torn.len(),
        started.elapsed()
    );
    assert_eq!(last, RequestEnd::Whole, "the engines count as unreachable");
    assert!(torn.is_empty(), "{torn:#?}");
}
