//! Callers that send malformed, oversized, slow or unauthenticated requests get an error, or their
//! connection is closed. Other callers are still served.

mod support;

use {
    gateway::GatewaySettings,
    std::time::Duration,
    support::{KITCHENS_KEY, STONES_KEY, exchange, read_to_end, request, start},
    tokio::{io::AsyncWriteExt, net::TcpStream},
};

const PROMPT: &str = r#"{"model":"granite","prompt":"hello"}"#;

/// Asserts that a well-formed request still gets its answer.
async fn assert_served(address: std::net::SocketAddr) {
    let request_text = request("POST", "/v1/completions", KITCHENS_KEY, PROMPT);
    let response = exchange(address, request_text.as_bytes()).await;
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    assert!(response.contains(r#""text":"hello""#), "{response}");
}

#[tokio::test]
async fn unreadable_requests_are_refused() {
    let (address, _) = start(GatewaySettings::default()).await;
    let response = exchange(address, b"\x16\x03\x01 not http\r\n\r\n").await;
    assert!(
        response.is_empty() || response.starts_with("HTTP/1.1 400"),
        "{response}"
    );
    for body in ["{", r#"{"model":"granite"}"#, r#"{"model":1,"prompt":""}"#] {
        let request_text = request("POST", "/v1/completions", KITCHENS_KEY, body);
        let response = exchange(address, request_text.as_bytes()).await;
        assert!(response.starts_with("HTTP/1.1 400"), "{response}");
        assert!(response.contains(r#""outcome":"not_run""#), "{response}");
    }
    assert_served(address).await;
}

#[tokio::test]
async fn oversized_bodies_and_heads_are_refused() {
    let (address, _) = start(GatewaySettings::default().max_body_bytes(2_048)).await;
    let body = format!(r#"{{"model":"granite","prompt":"{}"}}"#, "x".repeat(4_096));
    let request_text = request("POST", "/v1/completions", KITCHENS_KEY, &body);
    let response = exchange(address, request_text.as_bytes()).await;
    assert!(response.starts_with("HTTP/1.1 413"), "{response}");
    let long_key = "k".repeat(64 * 1_024);
    let request_text = request("POST", "/v1/completions", &long_key, PROMPT);
    let response = exchange(address, request_text.as_bytes()).await;
    assert!(
        response.is_empty() || response.starts_with("HTTP/1.1 431"),
        "{response}"
    );
    assert_served(address).await;
}

#[tokio::test]
async fn slow_heads_and_bodies_time_out() {
    let bound = Duration::from_millis(200);
    let settings = GatewaySettings::default()
        .head_timeout(bound)
        .body_timeout(bound);
    let (address, _) = start(settings).await;
    let response = exchange(address, b"POST /v1/completions HTTP/1.1\r\nhost:").await;
    assert!(
        response.is_empty() || response.starts_with("HTTP/1.1 408"),
        "{response}"
    );
    let request_text = request("POST", "/v1/completions", KITCHENS_KEY, PROMPT);
    let response = exchange(address, &request_text.as_bytes()[..request_text.len() - 5]).await;
    assert!(response.starts_with("HTTP/1.1 504"), "{response}");
    assert_served(address).await;
}

#[tokio::test]
async fn half_closed_connections_free_their_slot() {
    let (address, _) = start(GatewaySettings::default().max_connections_count(1)).await;
    let mut half_closed = TcpStream::connect(address).await.expect("gateway listens");
    half_closed
        .write_all(b"POST /v1/completions HTTP/1.1\r\n")
        .await
        .expect("connected");
    half_closed.shutdown().await.expect("connected");
    read_to_end(&mut half_closed).await;
    assert_served(address).await;
}

#[tokio::test]
async fn connections_beyond_the_limit_are_refused_at_once() {
    let (address, _) = start(GatewaySettings::default().max_connections_count(1)).await;
    let first = TcpStream::connect(address).await.expect("gateway listens");
    let request_text = request("POST", "/v1/completions", KITCHENS_KEY, PROMPT);
    let response = exchange(address, request_text.as_bytes()).await;
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    assert!(response.contains("retry-after: 1"), "{response}");
    drop(first);
}

#[tokio::test]
async fn callers_without_the_right_key_get_no_data() {
    let (address, _) = start(GatewaySettings::default()).await;
    let request_text = request("POST", "/v1/completions", "key-of-nobody", PROMPT);
    let response = exchange(address, request_text.as_bytes()).await;
    assert!(response.starts_with("HTTP/1.1 401"), "{response}");
    let foreign = request("GET", "/v1/decisions/decided", STONES_KEY, "");
    let foreign = exchange(address, foreign.as_bytes()).await;
    assert!(foreign.starts_with("HTTP/1.1 404"), "{foreign}");
    let unknown = request("GET", "/v1/decisions/never", STONES_KEY, "");
    let unknown = exchange(address, unknown.as_bytes()).await;
    let body = |response: &str| response.split("\r\n\r\n").nth(1).map(ToOwned::to_owned);
    assert_eq!(body(&foreign), body(&unknown));
    let operator = request("GET", "/v1/operator/target", STONES_KEY, "");
    let operator = exchange(address, operator.as_bytes()).await;
    assert!(operator.starts_with("HTTP/1.1 403"), "{operator}");
    let own = request("GET", "/v1/decisions/decided", KITCHENS_KEY, "");
    let own = exchange(address, own.as_bytes()).await;
    assert!(own.starts_with("HTTP/1.1 200"), "{own}");
}
