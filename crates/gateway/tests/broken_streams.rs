//! A streamed response ends regularly only if its answer is whole. Anything else breaks the connection off.

mod support;

use {
    bytes::Bytes,
    gateway::{CompletionEvent, GatewaySettings, LastChunk, Refusal, StreamSender, StreamedBody},
    http_body_util::BodyExt,
    support::{KITCHENS_KEY, exchange, request, start},
};

/// What ends the body of a response in chunks regularly.
const REGULAR_END: &str = "\r\n0\r\n\r\n";

fn end_event() -> CompletionEvent {
    CompletionEvent::End {
        finish_reason: "stop".to_owned(),
        prompt_tokens: 1,
        cached_tokens: 0,
        completion_tokens: 1,
    }
}

/// Starts a body whose sender has sent one chunk.
async fn begun() -> (StreamSender, StreamedBody) {
    let (mut sender, body) = StreamedBody::new("r1".to_owned());
    let sent = sender.send(Bytes::from_static(b"half")).await;
    sent.expect("the body is read");
    (sender, body)
}

/// Checks that the caller gets what was sent, then an error that names the request.
async fn assert_broken(mut body: StreamedBody) {
    let first = body.frame().await.expect("a first chunk");
    let first = first.expect("data").into_data().expect("data");
    assert_eq!(first, "half");
    let error = body.frame().await.expect("no regular end");
    let error = error.expect_err("an error");
    assert!(error.to_string().contains("r1"), "{error}");
}

/// The response to a streamed completion of this model, up to the end of its connection.
async fn stream(model: &str) -> String {
    let (address, _) = start(GatewaySettings::default()).await;
    let body = format!(r#"{{"model":"{model}","prompt":"hello","stream":true}}"#);
    let request = request("POST", "/v1/completions", KITCHENS_KEY, &body);
    exchange(address, request.as_bytes()).await
}

#[tokio::test]
async fn whole_stream_ends_regularly() {
    let response = stream("granite").await;
    assert!(response.ends_with(REGULAR_END), "{response}");
}

/// Guards against an answer whose producer ends early and that a caller takes for whole.
#[tokio::test]
async fn stream_without_an_end_breaks_off_after_its_error_event() {
    let response = stream("torn").await;
    assert!(response.contains("event: error"), "{response}");
    assert!(!response.ends_with(REGULAR_END), "{response}");
}

/// Guards against a failure that only those callers see who read every event.
#[tokio::test]
async fn failed_stream_breaks_off_after_its_error_event() {
    let response = stream("failing").await;
    assert!(response.contains("event: error"), "{response}");
    assert!(response.contains("out of memory"), "{response}");
    assert!(!response.ends_with(REGULAR_END), "{response}");
}

/// Guards against a panic of the producer that looks like the end of the answer.
#[tokio::test]
async fn stream_of_a_backend_that_panics_breaks_off() {
    let response = stream("panicking").await;
    assert!(response.contains("hello"), "{response}");
    assert!(!response.ends_with(REGULAR_END), "{response}");
}

#[tokio::test]
async fn last_chunk_ends_the_body() {
    let (sender, body) = begun().await;
    let last = LastChunk::new(&end_event(), Bytes::from_static(b" whole")).expect("a last chunk");
    sender.finish(last).await.expect("the body is read");
    let whole = body.collect().await.expect("a whole body");
    assert_eq!(whole.to_bytes(), "half whole");
}

#[tokio::test]
async fn dropped_sender_breaks_the_body_off() {
    let (sender, body) = begun().await;
    drop(sender);
    assert_broken(body).await;
}

#[tokio::test]
async fn panic_of_the_sending_task_breaks_the_body_off() {
    let (sender, body) = begun().await;
    let task = tokio::spawn(async move {
        let _sender = sender;
        panic!("of the test");
    });
    assert!(task.await.is_err());
    assert_broken(body).await;
}

#[test]
fn only_the_end_of_a_completion_makes_a_last_chunk() {
    let refusal = Refusal::not_run(gateway::RefusalKind::Unavailable, "later");
    for event in [
        CompletionEvent::Text("x".to_owned()),
        CompletionEvent::Restart,
        CompletionEvent::Failed(refusal),
    ] {
        assert_eq!(LastChunk::new(&event, Bytes::new()), None);
    }
}
