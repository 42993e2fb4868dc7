//! Guards against requests being cut during a rolling restart of all entries under load.

mod support;

use {
    http_body_util::BodyExt,
    hyper::Method,
    serde_json::{Value, json},
    standin::engine::EngineSettings,
    std::{
        io,
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
    support::{
        http::{Connection, with_timeout},
        objects::{CALLER_KEY, MODEL},
        test_system::{TestSystem, TestSystemSettings},
    },
    tokio_util::{sync::CancellationToken, task::TaskTracker},
};

const ENTRIES_COUNT: usize = 4;
const CALLERS_COUNT: usize = 24;
/// Answer tokens of each request and the time between two of them: half a second in total.
const ANSWER_TOKENS: usize = 50;
const TOKEN_TIME: Duration = Duration::from_millis(10);
const ADDRESSES_MAX_AGE_MS: u64 = 1_000;
/// Delay of a caller after a failed request.
const RETRY_DELAY: Duration = Duration::from_millis(20);
/// Longest time that a daemon may take to drain.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(30);

/// Results of all callers.
#[derive(Debug, Default)]
struct History {
    whole_count: usize,
    cut: Vec<String>,
}

/// A caller that caches the entry addresses as long as allowed. It reads them from one entry and
/// sends its requests to another, so that it depends on what entries know about each other.
struct Caller {
    addresses: Vec<SocketAddr>,
    cached_until: Instant,
    history: Arc<Mutex<History>>,
}

impl Caller {
    async fn run(mut self, stop: CancellationToken) {
        while !stop.is_cancelled() {
            match self.request().await {
                Ok(()) => self.history.lock().unwrap().whole_count += 1,
                Err(error) => {
                    self.history.lock().unwrap().cut.push(error.to_string());
                    self.addresses.rotate_left(1);
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    async fn request(&mut self) -> io::Result<()> {
        let address = self.address().await?;
        let mut connection = Connection::open(address, CALLER_KEY).await?;
        let body = json!({
            "model": MODEL,
            "prompt": "which fault code matches",
            "max_tokens": ANSWER_TOKENS,
            "stream": true,
        });
        let response = connection
            .send(Method::POST, "/v1/completions", &body)
            .await?;
        let status = response.status();
        let body = with_timeout(async {
            response
                .into_body()
                .collect()
                .await
                .map_err(io::Error::other)
        });
        let text = String::from_utf8_lossy(&body.await?.to_bytes()).into_owned();
        let tokens_count = text.matches("\"text\":\"").count();
        if text.contains("data: [DONE]") && tokens_count >= ANSWER_TOKENS {
            return Ok(());
        }
        Err(io::Error::other(format!(
            "{address}: {status}, {tokens_count} tokens: {text}"
        )))
    }

    /// Returns the address to use; first reads the addresses again if the cached ones are too old.
    async fn address(&mut self) -> io::Result<SocketAddr> {
        if Instant::now() >= self.cached_until {
            let asked = self.addresses[self.addresses.len() - 1];
            let mut connection = Connection::open(asked, CALLER_KEY).await?;
            let answer = connection
                .json(Method::GET, "/v1/entries", &Value::Null)
                .await?;
            let max_age_ms = answer["max_age_ms"].as_u64().unwrap_or_default();
            assert_eq!(max_age_ms, ADDRESSES_MAX_AGE_MS);
            self.cached_until = Instant::now() + Duration::from_millis(max_age_ms);
            self.addresses = addresses(&answer);
        }
        Ok(self.addresses[0])
    }
}

fn addresses(answer: &Value) -> Vec<SocketAddr> {
    let entries = answer["entries"].as_array().into_iter().flatten();
    entries
        .filter_map(|entry| entry["address"].as_str()?.parse().ok())
        .collect()
}

/// Replaces every entry under load, ending the old ones with `signal`.
async fn rolling_restart(signal: &str) -> History {
    let mut settings = TestSystemSettings::new(env!("CARGO_BIN_EXE_rattand"));
    settings.entries_count = ENTRIES_COUNT;
    settings.list_lag = Duration::from_millis(500);
    settings.engine = EngineSettings {
        token_time: TOKEN_TIME,
        ..settings.engine
    };
    settings.flags = vec![("entries-max-age-ms", ADDRESSES_MAX_AGE_MS.to_string())];
    let mut system = TestSystem::start(settings).await.unwrap();
    let history = Arc::<Mutex<History>>::default();
    let (stop, callers) = (CancellationToken::new(), TaskTracker::new());
    for index in 0..CALLERS_COUNT {
        let caller = Caller {
            addresses: vec![system.entries[index % ENTRIES_COUNT].address],
            cached_until: Instant::now(),
            history: history.clone(),
        };
        callers.spawn(caller.run(stop.clone()));
    }
    for _ in 0..ENTRIES_COUNT {
        let address = system.add_entry().await.unwrap();
        system.wait_until_serving(address).await.unwrap();
        let mut old = system.entries.remove(0);
        old.signal(signal);
        let status = old.exit(DRAIN_TIMEOUT).await;
        assert!(status.is_some(), "{} did not end", old.name);
        system.instances.role().change(&old.name, None);
    }
    stop.cancel();
    callers.close();
    callers.wait().await;
    let history = std::mem::take(&mut *history.lock().unwrap());
    println!(
        "{signal}: {} whole, {} cut",
        history.whole_count,
        history.cut.len()
    );
    history
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn killed_entries_cut_requests() {
    let history = rolling_restart("KILL").await;
    assert!(
        !history.cut.is_empty(),
        "the check finds nothing where there is something"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn drained_entries_cut_no_request() {
    let history = rolling_restart("TERM").await;
    assert!(history.cut.is_empty(), "{:#?}", history.cut);
    assert!(history.whole_count > CALLERS_COUNT);
}
