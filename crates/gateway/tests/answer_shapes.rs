//! Responses of both completion APIs, whole and streamed, and the error for a truncated answer.

mod support;

use {
    gateway::{CompletionApi, CompletionBody, GatewaySettings},
    proptest::prelude::*,
    support::{KITCHENS_KEY, exchange, request, start},
};

async fn post(path: &str, body: &str) -> String {
    let (address, _) = start(GatewaySettings::default()).await;
    let request_text = request("POST", path, KITCHENS_KEY, body);
    exchange(address, request_text.as_bytes()).await
}

#[tokio::test]
async fn complete_streams_end_with_the_end_marker() {
    let body = r#"{"model":"granite","prompt":"hello","stream":true}"#;
    let response = post("/v1/completions", body).await;
    assert!(response.contains("text/event-stream"), "{response}");
    assert!(response.contains(r#""finish_reason":"stop""#), "{response}");
    assert!(response.contains("data: [DONE]"), "{response}");
}

#[tokio::test]
async fn truncated_answers_end_with_an_error() {
    let body = r#"{"model":"torn","prompt":"hello","stream":true}"#;
    let response = post("/v1/completions", body).await;
    assert!(response.contains("event: error"), "{response}");
    assert!(response.contains(r#""outcome":"unknown""#), "{response}");
    assert!(!response.contains("[DONE]"), "{response}");
    let body = r#"{"model":"torn","prompt":"hello"}"#;
    let response = post("/v1/completions", body).await;
    assert!(response.starts_with("HTTP/1.1 502"), "{response}");
}

#[tokio::test]
async fn chat_responses_contain_a_message() {
    let body = r#"{"model":"granite","messages":[{"role":"user","content":"hello"}]}"#;
    let response = post("/v1/chat/completions", body).await;
    assert!(
        response.contains(r#""object":"chat.completion""#),
        "{response}"
    );
    assert!(response.contains(r#""role":"assistant""#), "{response}");
}

proptest! {
    #[test]
    fn any_body_is_parsed_or_refused(body in proptest::collection::vec(any::<u8>(), 0..256)) {
        if let Ok(parsed) = CompletionBody::parse(&body) {
            let _ = parsed.into_job(CompletionApi::Chat, "r".to_owned(), "a".to_owned());
        }
    }

    #[test]
    fn any_field_values_are_accepted_or_refused(
        prompt in ".*",
        max_tokens in any::<i64>(),
        stream in any::<bool>(),
    ) {
        let body = serde_json::json!({
            "model": "m", "prompt": prompt, "max_tokens": max_tokens, "stream": stream,
        });
        if let Ok(parsed) = CompletionBody::parse(body.to_string().as_bytes()) {
            let job = parsed.into_job(CompletionApi::Text, "r".to_owned(), "a".to_owned());
            prop_assert_eq!(
                job.is_ok(),
                !prompt.is_empty() && (1..=32_768).contains(&max_tokens)
            );
        }
    }
}
