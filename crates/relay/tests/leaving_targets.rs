//! Targets that state in an answer that they are about to exit get no new calls.

mod support;

use {
    std::time::Duration,
    support::{
        TestRelay, caller,
        scripted_target::{ScriptedTarget, Step, answer, stream},
    },
    tokio::time::sleep,
};

/// Time after which calls do not avoid a target any more because it refused one.
const AFTER_REFUSAL: Duration = Duration::from_millis(250);
/// Number of calls after the statement in each check.
const CALLS_COUNT: usize = 20;

fn leaving(status: &str, headers: &str) -> String {
    answer(status, &format!("leaving: 1\r\n{headers}"), "ok")
}

/// The head of a stream of a leaving target, and its first event.
fn leaving_stream() -> String {
    stream(&["id: 1\n\n"]).replace("stamp: s", "stamp: s\r\nleaving: 1")
}

/// Number of further calls that a target gets after the answer `first` to a call of `path`.
async fn calls_after(path: &str, first: Step) -> usize {
    let target = ScriptedTarget::start("one", vec![first]).await;
    let other = ScriptedTarget::start("two", vec![]).await;
    let relay = TestRelay::start(&[&target]).await;
    caller::call(relay.address, path, "").await;
    assert_eq!(target.arrived().len(), 1, "the first call");
    relay.add_target(&other);
    sleep(AFTER_REFUSAL).await;
    for _ in 0..CALLS_COUNT {
        let response = caller::call(relay.address, "/once/1", "").await;
        assert_eq!(response.status, 200);
    }
    target.arrived().len() - 1
}

#[tokio::test]
async fn leaving_target_gets_no_call_after_its_answer() {
    let first = Step::Respond(leaving("200 OK", "stamp: s\r\n"));
    assert_eq!(calls_after("/once/1", first).await, 0);
}

#[tokio::test]
async fn leaving_target_gets_no_call_after_its_error() {
    let first = Step::Respond(leaving("500 Internal Server Error", "stamp: s\r\n"));
    assert_eq!(calls_after("/once/1", first).await, 0);
}

#[tokio::test]
async fn leaving_target_gets_no_call_after_its_refusal() {
    let first = Step::Respond(leaving("503 Service Unavailable", "not-run: 1\r\n"));
    assert_eq!(calls_after("/once/1", first).await, 0);
}

#[tokio::test]
async fn leaving_target_gets_no_call_after_an_answer_that_cannot_be_used() {
    let first = Step::Respond(leaving("503 Service Unavailable", ""));
    assert_eq!(calls_after("/once/1", first).await, 0);
}

#[tokio::test]
async fn leaving_target_gets_no_call_after_an_answer_that_breaks_off() {
    let whole = leaving("200 OK", "stamp: s\r\n");
    let first = Step::RespondThenClose(whole.replace("content-length: 2", "content-length: 9"));
    assert_eq!(calls_after("/once/1", first).await, 0);
}

#[tokio::test]
async fn leaving_target_gets_no_call_while_its_answer_has_only_begun() {
    let head = leaving_stream();
    let head = head.split("6\r\n").next().unwrap().to_owned();
    let target = ScriptedTarget::start("one", vec![Step::RespondThenStall(head)]).await;
    let relay = TestRelay::start(&[&target]).await;
    let _waiting = caller::send(relay.address, "/stream/1", "").await;
    sleep(Duration::from_millis(200)).await;
    let response = caller::call(relay.address, "/once/1", "").await;
    assert_eq!(response.status, 503);
    assert_eq!(target.arrived().len(), 1);
}

#[tokio::test]
async fn retry_does_not_go_to_a_leaving_target() {
    let failure = Step::Respond(answer("500 Internal Server Error", "stamp: s\r\n", ""));
    let one = Step::Respond(leaving("200 OK", "stamp: s\r\n"));
    let one = ScriptedTarget::start("one", vec![one]).await;
    let relay = TestRelay::start(&[&one]).await;
    caller::call(relay.address, "/once/1", "").await;
    let two = ScriptedTarget::start("two", vec![failure; CALLS_COUNT]).await;
    relay.add_target(&two);
    for _ in 0..CALLS_COUNT {
        caller::call(relay.address, "/idempotent/1", "").await;
    }
    assert_eq!(one.arrived().len(), 1);
}

#[tokio::test]
async fn broken_stream_is_not_resumed_at_a_leaving_target() {
    let one = Step::Respond(leaving("200 OK", "stamp: s\r\n"));
    let one = ScriptedTarget::start("one", vec![one]).await;
    let relay = TestRelay::start(&[&one]).await;
    caller::call(relay.address, "/once/1", "").await;
    let begun = Step::RespondThenClose(stream(&["id: 1\n\n"]));
    let two = ScriptedTarget::start("two", vec![begun]).await;
    relay.add_target(&two);
    let response = caller::call(relay.address, "/resumable/1", "").await;
    assert!(!response.is_complete);
    assert_eq!(one.arrived().len(), 1);
}

#[tokio::test]
async fn stream_in_progress_at_a_leaving_target_ends_normally() {
    let rest = "6\r\nid: 2\n\r\n1\r\n\n\r\n0\r\n\r\n".to_owned();
    let begun = Step::RespondInTwo(leaving_stream(), Duration::from_millis(400), rest);
    let target = ScriptedTarget::start("one", vec![begun]).await;
    let relay = TestRelay::start(&[&target]).await;
    let response = caller::call(relay.address, "/gapped/1", "").await;
    assert!(response.is_complete, "{}", response.text);
}

#[tokio::test]
async fn statement_of_another_target_is_not_the_targets_own() {
    let other = leaving("421 Misdirected Request", "not-run: 1\r\ntarget: other\r\n");
    let target = ScriptedTarget::start("one", vec![Step::Respond(other)]).await;
    let relay = TestRelay::start(&[&target]).await;
    caller::call(relay.address, "/once/1", "").await;
    let response = caller::call(relay.address, "/once/1", "").await;
    assert_eq!(response.status, 200);
}

#[tokio::test]
async fn call_is_refused_at_once_if_every_target_is_leaving() {
    let first = Step::Respond(leaving("200 OK", "stamp: s\r\n"));
    let target = ScriptedTarget::start("one", vec![first]).await;
    let relay = TestRelay::start(&[&target]).await;
    caller::call(relay.address, "/once/1", "").await;
    let response = caller::call(relay.address, "/once/2", "").await;
    assert_eq!(response.status, 503);
    assert!(response.header("retry-after").is_some());
    assert_eq!(target.arrived().len(), 1);
}
