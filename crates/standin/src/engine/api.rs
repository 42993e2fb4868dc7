//! HTTP routes of the model engine.

use {
    super::{Engine, completion::Completion, run::Run},
    crate::http::{self, Answer, query},
    hyper::{Method, Request, StatusCode, body::Incoming},
    serde_json::{Value, json},
    std::{sync::Arc, time::Duration},
    tokio::time::{Instant, sleep, timeout_at},
};

/// Longest time that a long poll for cache events waits for the first event.
const EVENTS_POLL_TIMEOUT: Duration = Duration::from_secs(1);

pub(super) async fn answer(engine: Arc<Engine>, request: Request<Incoming>) -> Answer {
    let path = request.uri().path().to_owned();
    let method = request.method().clone();
    if let Some(id) = http::path_rest(&request, "/v1/runs/") {
        return engine.answer_run(&request, &id).await;
    }
    match (method, path.as_str()) {
        (Method::POST, "/v1/completions") => engine.answer_completion(request).await,
        (Method::GET, "/v1/load") => http::ok(&engine.load()),
        (Method::GET, "/v1/cache/events") => engine.answer_events(&request).await,
        (Method::GET, "/v1/cache/blocks") => engine.answer_blocks(),
        (Method::GET, "/v1/audit") => http::ok(&engine.audit()),
        (Method::GET, "/health") => http::empty(StatusCode::OK),
        (Method::POST, "/v1/kv/export") => match http::read_json(request).await? {
            Ok(body) => engine.answer_export(body).await,
            Err(refused) => Ok(refused),
        },
        (Method::POST, "/v1/kv/import") => match http::read_json(request).await? {
            Ok(body) => engine.answer_import(body).await,
            Err(refused) => Ok(refused),
        },
        (Method::POST, "/v1/orders") => match http::read_json::<Value>(request).await? {
            Ok(body) => engine.answer_order(body).await,
            Err(refused) => Ok(refused),
        },
        _ => http::not_found(),
    }
}

impl Engine {
    async fn answer_completion(self: &Arc<Self>, request: Request<Incoming>) -> Answer {
        let completion: Completion = match http::read_json(request).await? {
            Ok(completion) => completion,
            Err(refused) => return Ok(refused),
        };
        let streamed = completion.stream;
        let run = match self.enqueue(completion) {
            Ok(run) => run,
            Err(refused) => return *refused,
        };
        if streamed {
            self.answer_stream(run, 0).await
        } else {
            self.answer_whole(run).await
        }
    }

    /// Queues a run. The error is the response that refuses it.
    fn enqueue(&self, completion: Completion) -> Result<Arc<Run>, Box<Answer>> {
        if self.switches.get().leaving {
            return Err(Box::new(http::error(
                StatusCode::SERVICE_UNAVAILABLE,
                "leaving",
            )));
        }
        let expected = completion
            .version
            .as_deref()
            .filter(|version| !version.is_empty());
        if let Some(refused) = expected.and_then(|version| self.version_mismatch(version)) {
            return Err(Box::new(refused));
        }
        let mut state = self.state();
        if state.queue.len() >= self.settings.max_queued_count {
            let tokens = state.queue.iter().map(|run| run.prompt_tokens).sum();
            let retry_after_ms = self.settings.prefill_time(tokens).as_millis();
            let retry_after_ms = u64::try_from(retry_after_ms).unwrap_or(u64::MAX).max(1);
            let body = json!({"error": {"type": "full", "retry_after_ms": retry_after_ms}});
            let refused = http::json(StatusCode::SERVICE_UNAVAILABLE, &body);
            return Err(Box::new(refused));
        }
        let reported = self.reported_version(&state);
        let run = Arc::new(Run::new(completion, reported, state.version.clone()));
        state.add_run(&run);
        drop(state);
        self.work.notify_one();
        Ok(run)
    }

    async fn answer_run(&self, request: &Request<Incoming>, request_id: &str) -> Answer {
        let Some(run) = self.state().run(request_id) else {
            return http::error(StatusCode::NOT_FOUND, "unknown_run");
        };
        if request.method() == Method::DELETE {
            run.cancel();
            self.work.notify_one();
            return http::empty(StatusCode::OK);
        }
        if run.is_cancelled() {
            return http::error(StatusCode::NOT_FOUND, "unknown_run");
        }
        let from_token = u64_parameter(request, "from_token");
        self.answer_stream(run, from_token).await
    }

    async fn answer_events(&self, request: &Request<Incoming>) -> Answer {
        let after = u64_parameter(request, "after");
        let deadline = Instant::now() + EVENTS_POLL_TIMEOUT;
        let mut recorded = self.recorded.subscribe();
        loop {
            let delay = Duration::from_millis(self.switches.get().events_delay_ms);
            let events = self.state().events.visible_after(after, delay);
            if !events.is_empty() || Instant::now() >= deadline {
                return self.events_page(after, &events);
            }
            let wait = self.state().events.wait_for_next(after, delay);
            let woken = async {
                match wait {
                    Some(wait) => sleep(wait.max(Duration::from_millis(1))).await,
                    None => drop(recorded.changed().await),
                }
            };
            // At the deadline, the next pass of the loop returns an empty page.
            let _ = timeout_at(deadline, woken).await;
        }
    }

    fn events_page(&self, after: u64, events: &[super::CacheEvent]) -> Answer {
        let oldest_seq = self.state().events.oldest_seq();
        let last_seq = events.last().map_or(after, |event| event.seq);
        http::ok(&json!({"events": events, "oldest_seq": oldest_seq, "last_seq": last_seq}))
    }

    fn answer_blocks(&self) -> Answer {
        let state = self.state();
        let blocks: Vec<Value> = state
            .cache
            .keys()
            .map(|key| json!({"key": key.key, "version": key.version}))
            .collect();
        http::ok(&json!({"last_seq": state.events.last_seq(), "blocks": blocks}))
    }
}

/// Query parameter as a number; 0 if it is missing or not a number.
fn u64_parameter(request: &Request<Incoming>, name: &str) -> u64 {
    query(request)
        .get(name)
        .and_then(|value| value.parse().ok())
        .unwrap_or(0)
}
