//! A caller that fetches the entry addresses and retries after refusals.

use {
    bytes::Bytes,
    hyper::Method,
    serde_json::Value,
    standin::{Caller, CompletionOutcome, End},
    std::{
        net::SocketAddr,
        sync::Mutex,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

/// Most attempts of one visit, including the first one.
const MAX_ATTEMPTS_COUNT: usize = 6;
/// Delay after a refusal without a retry time.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Longest wait for the next part of an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(8);

/// Result of one visit.
#[derive(Clone, Debug)]
pub struct Visited {
    /// Time from the first attempt to the first token, including refusals and broken connections.
    pub first_token: Option<Duration>,
    /// Time from the first attempt to the end.
    pub total: Duration,
    pub prompt_tokens: u64,
    pub cached_tokens: u64,
    /// Number of refused attempts.
    pub refused_count: u32,
    pub end: End,
    /// Error body of the last refusal.
    pub error: Value,
    /// Request id of the last attempt.
    pub request: String,
}

/// The callers of one client account.
#[derive(Debug)]
pub struct Visitor {
    caller: Caller,
    initial_entries: Vec<SocketAddr>,
    cached_entries: Mutex<Option<(Vec<SocketAddr>, Instant)>>,
}

impl Visitor {
    /// Creates callers that fetch the entry addresses from `initial_entries`.
    pub fn new(key: &str, initial_entries: Vec<SocketAddr>) -> Self {
        let mut caller = Caller::new(key);
        caller.idle_timeout = ANSWER_TIMEOUT;
        Self {
            caller,
            initial_entries,
            cached_entries: Mutex::default(),
        }
    }

    /// Sends a prompt until it is answered, with at most `attempts_count` attempts.
    pub async fn visit(
        &self,
        model: &str,
        prompt: &str,
        max_tokens: u32,
        attempts_count: usize,
    ) -> Visited {
        let started = Instant::now();
        let mut refused_count = 0;
        let mut last = None;
        for _ in 0..attempts_count.min(MAX_ATTEMPTS_COUNT) {
            let entries = self.entries().await;
            let entry = entries[0];
            let attempt_started = started.elapsed();
            let visit = self.caller.complete(entry, model, prompt, max_tokens).await;
            let ended = visit.end.clone();
            let retry_after = retry_after(&visit);
            last = Some((visit, attempt_started));
            match ended {
                End::Whole => break,
                End::Broken => self.move_to_end(entry),
                End::Refused => {
                    refused_count += 1;
                    if attempts_count > 1 {
                        sleep(retry_after).await;
                    }
                }
            }
        }
        visited(last, refused_count, started)
    }

    /// Entries to use, the preferred one first.
    async fn entries(&self) -> Vec<SocketAddr> {
        if let Some((entries, until)) = lock(&self.cached_entries).clone()
            && Instant::now() < until
        {
            return entries;
        }
        for entry in &self.initial_entries {
            if let Some((entries, max_age)) = self.fetch_entries(*entry).await {
                *lock(&self.cached_entries) = Some((entries.clone(), Instant::now() + max_age));
                return entries;
            }
        }
        self.initial_entries.clone()
    }

    async fn fetch_entries(&self, entry: SocketAddr) -> Option<(Vec<SocketAddr>, Duration)> {
        let answer = self
            .caller
            .call(entry, Method::GET, "/v1/entries", &[], Bytes::new())
            .await;
        let (_, body) = answer.ok()?;
        let answer: Value = serde_json::from_slice(&body).ok()?;
        let max_age = Duration::from_millis(answer["max_age_ms"].as_u64()?);
        let entries = answer["entries"].as_array()?.iter();
        let addresses = entries.filter_map(|entry| entry["address"].as_str()?.parse().ok());
        let addresses: Vec<SocketAddr> = addresses.collect();
        (!addresses.is_empty()).then_some((addresses, max_age))
    }

    /// Moves an entry that broke off its answer to the end of the cached entries.
    fn move_to_end(&self, entry: SocketAddr) {
        if let Some((entries, _)) = lock(&self.cached_entries).as_mut()
            && entries[0] == entry
        {
            entries.rotate_left(1);
        }
    }
}

fn retry_after(visit: &CompletionOutcome) -> Duration {
    let retry_after_ms = visit.error["error"]["retry_after_ms"].as_u64();
    retry_after_ms.map_or(DEFAULT_RETRY_AFTER, Duration::from_millis)
}

fn visited(
    last: Option<(CompletionOutcome, Duration)>,
    refused_count: u32,
    started: Instant,
) -> Visited {
    let (visit, attempt_started) = last.expect("a visit has at least one try");
    let first_token_ms = visit.first_token_ms;
    Visited {
        first_token: first_token_ms
            .map(|it| attempt_started + Duration::from_secs_f64(it / 1_000.0)),
        total: started.elapsed(),
        prompt_tokens: visit.prompt_tokens,
        cached_tokens: visit.cached_tokens,
        refused_count,
        end: visit.end,
        error: visit.error,
        request: visit.request,
    }
}

fn lock<Value>(mutex: &Mutex<Value>) -> std::sync::MutexGuard<'_, Value> {
    mutex
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}
