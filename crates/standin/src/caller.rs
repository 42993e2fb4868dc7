//! A client of the completions API and of plain services, for tests, the demo and measurements.

use {
    crate::{
        client,
        http::{Body, full},
    },
    bytes::{Bytes, BytesMut},
    http_body_util::BodyExt,
    hyper::{Method, Request, Response, StatusCode, body::Incoming},
    serde::{Deserialize, Serialize},
    serde_json::{Value, json},
    std::{
        io,
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::time::timeout,
};

/// A client that authenticates with a bearer key.
#[derive(Clone, Debug)]
pub struct Caller {
    /// Bearer key sent with every request.
    pub key: String,
    /// Longest wait for the next part of a response.
    pub idle_timeout: Duration,
}

/// How a completion ended for its caller.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// With the end marker: the answer is complete.
    Whole,
    /// With an explicit error, as an HTTP status or as an event in the stream.
    Refused,
    /// The connection broke or stayed silent for the idle timeout.
    Broken,
}

/// The outcome of one completion, as its caller observed it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CompletionOutcome {
    /// Request id from the response; empty if there was none.
    pub request: String,
    /// HTTP status; 0 if there was no response.
    pub status: u16,
    /// Time to the first token in milliseconds, if there was one.
    pub first_token_ms: Option<f64>,
    /// Time to the end in milliseconds.
    pub total_ms: f64,
    /// Text of the answer that was received.
    pub text: String,
    /// Number of prompt tokens, from the usage in the answer.
    pub prompt_tokens: u64,
    /// Number of prompt tokens that came from a cache.
    pub cached_tokens: u64,
    /// How the completion ended.
    pub end: End,
    /// The explicit error, or null.
    pub error: Value,
}

impl Caller {
    /// Creates a caller with an idle timeout of ten seconds.
    #[must_use]
    pub fn new(key: &str) -> Self {
        Self {
            key: key.to_owned(),
            idle_timeout: Duration::from_secs(10),
        }
    }

    /// Requests a streamed completion and reads it to its end.
    pub async fn complete(
        &self,
        entry: SocketAddr,
        model: &str,
        prompt: &str,
        max_tokens: u32,
    ) -> CompletionOutcome {
        let body = json!({
            "model": model,
            "prompt": prompt,
            "max_tokens": max_tokens,
            "stream": true,
        });
        let started = Instant::now();
        let mut outcome = CompletionOutcome {
            request: String::new(),
            status: 0,
            first_token_ms: None,
            total_ms: 0.0,
            text: String::new(),
            prompt_tokens: 0,
            cached_tokens: 0,
            end: End::Broken,
            error: Value::Null,
        };
        let request = self.request(
            Method::POST,
            "/v1/completions",
            &[],
            body.to_string().into(),
        );
        let sent = timeout(self.idle_timeout, client::send(entry, request)).await;
        if let Ok(Ok(response)) = sent {
            self.read(response, started, &mut outcome).await;
        }
        outcome.total_ms = millis(started);
        outcome
    }

    /// Sends a request and returns the status and the body of its response.
    ///
    /// # Errors
    /// The connection breaks, or the whole response takes longer than the idle timeout.
    pub async fn call(
        &self,
        entry: SocketAddr,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> io::Result<(StatusCode, Bytes)> {
        let request = self.request(method, path, headers, body);
        let answer = timeout(self.idle_timeout, client::fetch(entry, request)).await;
        let (status, _, body) = answer.map_err(io::Error::other)??;
        Ok((status, body))
    }

    fn request(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Request<Body> {
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", "entry")
            .header("authorization", format!("Bearer {}", self.key));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        request
            .body(full(body))
            .expect("paths and headers of callers are valid")
    }

    /// Reads the response into `outcome` until the body ends, breaks or stays silent.
    async fn read(
        &self,
        response: Response<Incoming>,
        started: Instant,
        outcome: &mut CompletionOutcome,
    ) {
        outcome.status = response.status().as_u16();
        let request = response.headers().get("x-request-id");
        if let Some(Ok(request)) = request.map(|id| id.to_str()) {
            request.clone_into(&mut outcome.request);
        }
        let is_stream = response.status().is_success();
        let mut body = response.into_body();
        let mut buffer = BytesMut::new();
        while let Ok(Some(Ok(frame))) = timeout(self.idle_timeout, body.frame()).await {
            let Ok(data) = frame.into_data() else {
                continue;
            };
            buffer.extend_from_slice(&data);
            while is_stream && let Some(end) = find(&buffer, b"\n\n") {
                let event = buffer.split_to(end + 2);
                outcome.apply_event(&String::from_utf8_lossy(&event), started);
            }
        }
        if !is_stream && let Ok(error) = serde_json::from_slice(&buffer) {
            outcome.error = error;
            outcome.end = End::Refused;
        }
    }
}

impl CompletionOutcome {
    /// Applies one server-sent event of the stream.
    fn apply_event(&mut self, event: &str, started: Instant) {
        let data = event.lines().find_map(|line| line.strip_prefix("data: "));
        let Some(data) = data else {
            return;
        };
        if data == "[DONE]" {
            self.end = End::Whole;
            return;
        }
        let Ok(value) = serde_json::from_str::<Value>(data) else {
            return;
        };
        if event.starts_with("event: error") {
            self.error = value;
            self.end = End::Refused;
            return;
        }
        let text = value["choices"][0]["text"].as_str().unwrap_or_default();
        if !text.is_empty() {
            self.first_token_ms.get_or_insert_with(|| millis(started));
            self.text.push_str(text);
        }
        let usage = &value["usage"];
        if let Some(prompt_tokens) = usage["prompt_tokens"].as_u64() {
            self.prompt_tokens = prompt_tokens;
            self.cached_tokens = usage["prompt_tokens_details"]["cached_tokens"]
                .as_u64()
                .unwrap_or_default();
        }
    }
}

fn find(haystack: &[u8], needle: &[u8]) -> Option<usize> {
    haystack
        .windows(needle.len())
        .position(|window| window == needle)
}

fn millis(since: Instant) -> f64 {
    since.elapsed().as_secs_f64() * 1_000.0
}
