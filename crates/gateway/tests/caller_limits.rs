//! Malformed, oversized, slow and unknown callers get an error or are closed; others don't notice.

mod support;

use {
    gateway::GatewaySettings,
    std::time::Duration,
    support::{KITCHENS_KEY, STONES_KEY, exchange, read_to_end, request, start},
    tokio::{io::AsyncWriteExt, net::TcpStream},
};

const PROMPT: &str = r#"{"model":"granite","prompt":"hello"}"#;

async fn assert_served(address: std::net::SocketAddr) {
    let asked = request("POST", "/v1/completions", KITCHENS_KEY, PROMPT);
    let answer = exchange(address, asked.as_bytes()).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(answer.contains(r#""text":"hello""#), "{answer}");
}

#[tokio::test]
async fn unreadable_requests_are_refused() {
    let (address, _) = start(GatewaySettings::default()).await;
    let answer = exchange(address, b"\x16\x03\x01 not http\r\n\r\n").await;
    assert!(
        answer.is_empty() || answer.starts_with("HTTP/1.1 400"),
        "{answer}"
    );
    for body in ["{", r#"{"model":"granite"}"#, r#"{"model":1,"prompt":""}"#] {
        let asked = request("POST", "/v1/completions", KITCHENS_KEY, body);
        let answer = exchange(address, asked.as_bytes()).await;
        assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
        assert!(answer.contains(r#""outcome":"not_run""#), "{answer}");
    }
    assert_served(address).await;
}

#[tokio::test]
async fn oversized_bodies_and_heads_are_refused() {
    let (address, _) = start(GatewaySettings::default().max_body_bytes(2_048)).await;
    let body = format!(r#"{{"model":"granite","prompt":"{}"}}"#, "x".repeat(4_096));
    let asked = request("POST", "/v1/completions", KITCHENS_KEY, &body);
    let answer = exchange(address, asked.as_bytes()).await;
    assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
    let long_key = "k".repeat(64 * 1_024);
    let asked = request("POST", "/v1/completions", &long_key, PROMPT);
    let answer = exchange(address, asked.as_bytes()).await;
    assert!(
        answer.is_empty() || answer.starts_with("HTTP/1.1 431"),
        "{answer}"
    );
    assert_served(address).await;
}

#[tokio::test]
async fn slow_heads_and_bodies_are_given_up() {
    let bound = Duration::from_millis(200);
    let settings = GatewaySettings::default()
        .head_timeout(bound)
        .body_timeout(bound);
    let (address, _) = start(settings).await;
    let answer = exchange(address, b"POST /v1/completions HTTP/1.1\r\nhost:").await;
    assert!(
        answer.is_empty() || answer.starts_with("HTTP/1.1 408"),
        "{answer}"
    );
    let asked = request("POST", "/v1/completions", KITCHENS_KEY, PROMPT);
    let answer = exchange(address, &asked.as_bytes()[..asked.len() - 5]).await;
    assert!(answer.starts_with("HTTP/1.1 504"), "{answer}");
    assert_served(address).await;
}

#[tokio::test]
async fn half_closed_callers_free_their_connection() {
    let (address, _) = start(GatewaySettings::default().max_connections_count(1)).await;
    let mut half = TcpStream::connect(address).await.expect("gateway listens");
    half.write_all(b"POST /v1/completions HTTP/1.1\r\n")
        .await
        .expect("connected");
    half.shutdown().await.expect("connected");
    read_to_end(&mut half).await;
    assert_served(address).await;
}

#[tokio::test]
async fn connections_beyond_the_limit_are_refused_at_once() {
    let (address, _) = start(GatewaySettings::default().max_connections_count(1)).await;
    let first = TcpStream::connect(address).await.expect("gateway listens");
    let asked = request("POST", "/v1/completions", KITCHENS_KEY, PROMPT);
    let answer = exchange(address, asked.as_bytes()).await;
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.contains("retry-after: 1"), "{answer}");
    drop(first);
}

#[tokio::test]
async fn callers_without_the_right_key_learn_nothing() {
    let (address, _) = start(GatewaySettings::default()).await;
    let asked = request("POST", "/v1/completions", "key-of-nobody", PROMPT);
    let answer = exchange(address, asked.as_bytes()).await;
    assert!(answer.starts_with("HTTP/1.1 401"), "{answer}");
    let stolen = request("GET", "/v1/decisions/decided", STONES_KEY, "");
    let stolen = exchange(address, stolen.as_bytes()).await;
    assert!(stolen.starts_with("HTTP/1.1 404"), "{stolen}");
    let invented = request("GET", "/v1/decisions/never", STONES_KEY, "");
    let invented = exchange(address, invented.as_bytes()).await;
    let body = |answer: &str| answer.split("\r\n\r\n").nth(1).map(ToOwned::to_owned);
    assert_eq!(body(&stolen), body(&invented));
    let operator = request("GET", "/v1/operator/target", STONES_KEY, "");
    let operator = exchange(address, operator.as_bytes()).await;
    assert!(operator.starts_with("HTTP/1.1 403"), "{operator}");
    let own = request("GET", "/v1/decisions/decided", KITCHENS_KEY, "");
    let own = exchange(address, own.as_bytes()).await;
    assert!(own.starts_with("HTTP/1.1 200"), "{own}");
}
