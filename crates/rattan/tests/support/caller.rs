//! A caller that records exactly what it received of an answer.
//!
//! Each test file uses only some of these items, hence the `allow`.
#![allow(dead_code)]

use {
    bytes::Bytes,
    http_body_util::{BodyExt, Full},
    hyper::{Request, Response, body::Incoming, client::conn::http1},
    hyper_util::rt::TokioIo,
    serde_json::Value,
    std::{io, net::SocketAddr, time::Duration},
    target::SseParser,
    tokio::{net::TcpStream, time::timeout},
};

/// Longest wait for the end of an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);

/// How an answer ended.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum End {
    /// With its end marker, or as one complete JSON object.
    Whole,
    /// With an error that states an outcome: `not_run`, `unknown` or `run`.
    Refused {
        outcome: String,
        message: String,
        retry_after_ms: Option<u64>,
    },
    /// The connection ended before the end of the answer.
    #[default]
    Torn,
    /// The answer did not end within [`ANSWER_TIMEOUT`].
    TimedOut,
}

/// Everything that a caller received of an answer.
#[derive(Clone, Debug, Default)]
pub struct ReceivedAnswer {
    /// `x-request-id` of the answer, empty if there was no answer.
    pub request: String,
    /// HTTP status, 0 if there was no answer.
    pub status: u16,
    /// Text of a completion, or the whole body of another kind of answer.
    pub text: String,
    /// Prompt tokens found in the cache, according to the last event.
    pub cached_tokens: u64,
    /// How the answer ended.
    pub end: End,
}

impl ReceivedAnswer {
    /// Whether the answer ended with an error that states this outcome.
    pub fn is_refused(&self, wanted: &str) -> bool {
        matches!(&self.end, End::Refused { outcome, .. } if outcome == wanted)
    }
}

/// Sends a request over a new connection and reads the answer to its end.
pub async fn send(
    address: SocketAddr,
    key: &str,
    path: &str,
    body: &Value,
    idempotency_key: Option<&str>,
) -> ReceivedAnswer {
    let mut received = ReceivedAnswer::default();
    let exchange = send_request(address, key, path, body, idempotency_key, &mut received);
    match timeout(ANSWER_TIMEOUT, exchange).await {
        Ok(Ok(end)) => received.end = end,
        Ok(Err(_)) => received.end = End::Torn,
        Err(_) => received.end = End::TimedOut,
    }
    received
}

async fn send_request(
    address: SocketAddr,
    key: &str,
    path: &str,
    body: &Value,
    idempotency_key: Option<&str>,
    received: &mut ReceivedAnswer,
) -> io::Result<End> {
    let mut request = Request::post(path)
        .header("host", "entry")
        .header("content-type", "application/json")
        .header("authorization", format!("Bearer {key}"));
    if let Some(idempotency_key) = idempotency_key {
        request = request.header("idempotency-key", idempotency_key);
    }
    let body = Full::new(Bytes::from(body.to_string()));
    let request = request.body(body).map_err(io::Error::other)?;
    let stream = TcpStream::connect(address).await?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    tokio::spawn(connection);
    let response = sender
        .send_request(request)
        .await
        .map_err(io::Error::other)?;
    received.status = response.status().as_u16();
    received.request = header(&response, "x-request-id");
    if header(&response, "content-type").starts_with("text/event-stream") {
        return read_events(response, received).await;
    }
    let body = response.into_body().collect().await;
    let body = body.map_err(io::Error::other)?.to_bytes();
    Ok(read_object(&body, received))
}

/// Reads server-sent events up to the end marker or an error.
async fn read_events(
    response: Response<Incoming>,
    received: &mut ReceivedAnswer,
) -> io::Result<End> {
    let mut body = response.into_body();
    let mut parser = SseParser::default();
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame.map_err(io::Error::other)?.into_data() {
            parser.push(&data);
        }
        while let Some(data) = parser.next_data() {
            if &data[..] == b"[DONE]" {
                return Ok(End::Whole);
            }
            let event: Value = serde_json::from_slice(&data).map_err(io::Error::other)?;
            if event["error"].is_object() {
                return Ok(parse_refusal(&event));
            }
            record_event(&event, received);
        }
    }
    Ok(End::Torn)
}

fn read_object(body: &[u8], received: &mut ReceivedAnswer) -> End {
    let object: Value = serde_json::from_slice(body).unwrap_or_default();
    if object["error"].is_object() {
        return parse_refusal(&object);
    }
    if object["choices"].is_array() {
        record_event(&object, received);
    } else {
        received.text = String::from_utf8_lossy(body).into_owned();
    }
    End::Whole
}

fn record_event(event: &Value, received: &mut ReceivedAnswer) {
    let text = event["choices"][0]["text"].as_str();
    received.text.push_str(text.unwrap_or_default());
    let cached_tokens = &event["usage"]["prompt_tokens_details"]["cached_tokens"];
    received.cached_tokens = cached_tokens.as_u64().unwrap_or(received.cached_tokens);
}

fn parse_refusal(object: &Value) -> End {
    let error = &object["error"];
    let text = |name: &str| error[name].as_str().unwrap_or_default().to_owned();
    End::Refused {
        outcome: text("outcome"),
        message: text("message"),
        retry_after_ms: error["retry_after_ms"].as_u64(),
    }
}

fn header(response: &Response<Incoming>, name: &str) -> String {
    let value = response.headers().get(name);
    value
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
        .to_owned()
}
