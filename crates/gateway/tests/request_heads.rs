//! Paths, queries and headers of requests reach the backend as the caller meant them.

mod support;

use {
    gateway::GatewaySettings,
    support::{KITCHENS_KEY, OPERATOR_KEY, exchange, request, start},
};

/// Guards against a call that runs without what its query asks for.
#[tokio::test]
async fn query_reaches_the_service() {
    let (address, _) = start(GatewaySettings::default()).await;
    let path = "/v1/services/cut-orders/create?dry_run=1&note=a%20b";
    let request_text = request("POST", path, KITCHENS_KEY, "");
    let response = exchange(address, request_text.as_bytes()).await;
    assert!(
        response.ends_with("/create?dry_run=1&note=a%20b"),
        "{response}"
    );
}

/// Guards against a change that is applied again since its id was ignored.
#[tokio::test]
async fn unreadable_headers_of_changes_are_refused() {
    let (address, _) = start(GatewaySettings::default()).await;
    let sound = request("POST", "/v1/operator/apply", OPERATOR_KEY, "[]");
    let response = exchange(address, sound.as_bytes()).await;
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    for name in ["x-change-id", "if-match", "if-none-match"] {
        let header = format!("host: entry\r\n{name}: n\u{e4}chtlich");
        let unreadable = sound.replace("host: entry", &header);
        let response = exchange(address, unreadable.as_bytes()).await;
        assert!(response.starts_with("HTTP/1.1 400"), "{name}: {response}");
        assert!(response.contains(r#""outcome":"not_run""#), "{response}");
    }
}

/// Guards against a decision that is not found because its id came escaped.
#[tokio::test]
async fn escaped_request_ids_are_decoded() {
    let (address, _) = start(GatewaySettings::default()).await;
    let request_text = request("GET", "/v1/decisions/d%65cided", KITCHENS_KEY, "");
    let response = exchange(address, request_text.as_bytes()).await;
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
}
