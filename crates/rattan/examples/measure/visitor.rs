//! A caller that asks which entries to use and comes back when told to.

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

/// Tries of one visit, the first one included.
const MAX_TRIES: usize = 6;
/// Wait after a refusal that names no time.
const DEFAULT_RETRY: Duration = Duration::from_millis(200);
/// Longest wait for a part of an answer.
const PATIENCE: Duration = Duration::from_secs(8);

/// What became of one visit.
#[derive(Clone, Debug)]
pub struct Visited {
    /// From the first try to the first token, refusals and broken connections included.
    pub first_token: Option<Duration>,
    /// From the first try to the end.
    pub total: Duration,
    pub prompt_tokens: u64,
    pub cached_tokens: u64,
    /// Tries that were refused with a time to come back.
    pub refused_count: u32,
    pub end: End,
    /// What the last refusal said.
    pub error: Value,
    /// Request id of the last try.
    pub request: String,
}

/// The callers of one client account.
#[derive(Debug)]
pub struct Visitor {
    caller: Caller,
    seeds: Vec<SocketAddr>,
    known: Mutex<Option<(Vec<SocketAddr>, Instant)>>,
}

impl Visitor {
    /// Callers that know these entries before they ask.
    pub fn new(key: &str, seeds: Vec<SocketAddr>) -> Self {
        let mut caller = Caller::new(key);
        caller.idle_timeout = PATIENCE;
        Self {
            caller,
            seeds,
            known: Mutex::default(),
        }
    }

    /// Sends a prompt until it is answered, at most a few times.
    pub async fn visit(&self, model: &str, prompt: &str, max_tokens: u32, tries: usize) -> Visited {
        let started = Instant::now();
        let mut refused_count = 0;
        let mut last = None;
        for _ in 0..tries.min(MAX_TRIES) {
            let entries = self.entries().await;
            let entry = entries[0];
            let began = started.elapsed();
            let visit = self.caller.complete(entry, model, prompt, max_tokens).await;
            let ended = visit.end.clone();
            let retry_after = retry_after(&visit);
            last = Some((visit, began));
            match ended {
                End::Whole => break,
                End::Broken => self.avoid(entry),
                End::Refused => {
                    refused_count += 1;
                    if tries > 1 {
                        sleep(retry_after).await;
                    }
                }
            }
        }
        visited(last, refused_count, started)
    }

    /// Entries to use, best first.
    async fn entries(&self) -> Vec<SocketAddr> {
        if let Some((entries, until)) = lock(&self.known).clone()
            && Instant::now() < until
        {
            return entries;
        }
        for seed in &self.seeds {
            if let Some((entries, max_age)) = self.ask(*seed).await {
                *lock(&self.known) = Some((entries.clone(), Instant::now() + max_age));
                return entries;
            }
        }
        self.seeds.clone()
    }

    async fn ask(&self, seed: SocketAddr) -> Option<(Vec<SocketAddr>, Duration)> {
        let answer = self
            .caller
            .call(seed, Method::GET, "/v1/entries", &[], Bytes::new())
            .await;
        let (_, body) = answer.ok()?;
        let answer: Value = serde_json::from_slice(&body).ok()?;
        let max_age = Duration::from_millis(answer["max_age_ms"].as_u64()?);
        let entries = answer["entries"].as_array()?.iter();
        let addresses = entries.filter_map(|entry| entry["address"].as_str()?.parse().ok());
        let addresses: Vec<SocketAddr> = addresses.collect();
        (!addresses.is_empty()).then_some((addresses, max_age))
    }

    /// Puts an entry that did not answer last.
    fn avoid(&self, entry: SocketAddr) {
        if let Some((entries, _)) = lock(&self.known).as_mut()
            && entries[0] == entry
        {
            entries.rotate_left(1);
        }
    }
}

fn retry_after(visit: &CompletionOutcome) -> Duration {
    let retry_after_ms = visit.error["error"]["retry_after_ms"].as_u64();
    retry_after_ms.map_or(DEFAULT_RETRY, Duration::from_millis)
}

fn visited(
    last: Option<(CompletionOutcome, Duration)>,
    refused_count: u32,
    started: Instant,
) -> Visited {
    let (visit, began) = last.expect("a visit has at least one try");
    let first_token_ms = visit.first_token_ms;
    Visited {
        first_token: first_token_ms.map(|it| began + Duration::from_secs_f64(it / 1_000.0)),
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
