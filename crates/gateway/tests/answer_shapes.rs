//! Answers in both shapes, whole and streamed, and what a torn one looks like.

mod support;

use {
    gateway::{CompletionApi, CompletionBody, GatewaySettings},
    proptest::prelude::*,
    support::{KITCHENS_KEY, exchange, request, start},
};

async fn ask(path: &str, body: &str) -> String {
    let (address, _) = start(GatewaySettings::default()).await;
    let asked = request("POST", path, KITCHENS_KEY, body);
    exchange(address, asked.as_bytes()).await
}

#[tokio::test]
async fn streams_end_with_the_end_marker() {
    let body = r#"{"model":"granite","prompt":"hello","stream":true}"#;
    let answer = ask("/v1/completions", body).await;
    assert!(answer.contains("text/event-stream"), "{answer}");
    assert!(answer.contains(r#""finish_reason":"stop""#), "{answer}");
    assert!(answer.contains("data: [DONE]"), "{answer}");
}

#[tokio::test]
async fn torn_streams_end_with_an_error_event() {
    let body = r#"{"model":"torn","prompt":"hello","stream":true}"#;
    let answer = ask("/v1/completions", body).await;
    assert!(answer.contains("event: error"), "{answer}");
    assert!(answer.contains(r#""outcome":"unknown""#), "{answer}");
    assert!(!answer.contains("[DONE]"), "{answer}");
    let body = r#"{"model":"torn","prompt":"hello"}"#;
    let answer = ask("/v1/completions", body).await;
    assert!(answer.starts_with("HTTP/1.1 502"), "{answer}");
}

#[tokio::test]
async fn chats_are_answered_as_messages() {
    let body = r#"{"model":"granite","messages":[{"role":"user","content":"hello"}]}"#;
    let answer = ask("/v1/chat/completions", body).await;
    assert!(answer.contains(r#""object":"chat.completion""#), "{answer}");
    assert!(answer.contains(r#""role":"assistant""#), "{answer}");
}

proptest! {
    #[test]
    fn any_body_is_read_or_refused(body in proptest::collection::vec(any::<u8>(), 0..256)) {
        if let Ok(parsed) = CompletionBody::parse(&body) {
            let _ = parsed.into_job(CompletionApi::Chat, "r".to_owned(), "a".to_owned());
        }
    }

    #[test]
    fn any_object_is_read_or_refused(
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
