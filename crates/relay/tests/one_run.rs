//! A call that may run at most once is sent again only if it certainly did not run.

mod support;

use support::{
    TestRelay, caller,
    scripted_target::{ScriptedTarget, Step, answer, success},
};

async fn two_targets(script: Vec<Step>) -> (ScriptedTarget, ScriptedTarget) {
    let first = ScriptedTarget::start("one", script.clone()).await;
    let second = ScriptedTarget::start("two", script).await;
    (first, second)
}

fn arrivals(targets: (&ScriptedTarget, &ScriptedTarget)) -> usize {
    targets.0.arrived().len() + targets.1.arrived().len()
}

#[tokio::test]
async fn call_is_not_retried_after_a_partial_answer() {
    let truncated = answer("200 OK", "stamp: s\r\n", "whole").replace("whole", "who");
    for partial_answer in [
        String::new(),
        "HTTP/1.1 2".to_owned(),
        truncated,
        "\u{1}\u{2}\r\n\r\n".to_owned(),
    ] {
        let (one, two) = two_targets(vec![Step::RespondThenClose(partial_answer)]).await;
        let relay = TestRelay::start(&[&one, &two]).await;
        let response = caller::call(relay.address, "/once/7", "").await;
        assert_eq!(response.status, 502, "the call may have run: {response:?}");
        assert_eq!(arrivals((&one, &two)), 1);
    }
}

#[tokio::test]
async fn call_that_did_not_run_is_sent_to_another_target() {
    let full = answer("503 Service Unavailable", "not-run: 1\r\n", "");
    let (one, two) = two_targets(vec![Step::Respond(full)]).await;
    let relay = TestRelay::start(&[&one, &two]).await;
    let response = caller::call(relay.address, "/once/7", "").await;
    assert_eq!(response.status, 503, "both targets are full: {response:?}");
    assert!(response.header("retry-after").is_some());
    assert_eq!(arrivals((&one, &two)), 2, "each target is tried once");
    let response = caller::call(relay.address, "/once/7", "").await;
    assert_eq!(response.status, 200);
}

#[tokio::test]
async fn unavailable_status_without_not_run_header_is_not_passed_on() {
    let unavailable = answer("503 Service Unavailable", "", "");
    let (one, two) = two_targets(vec![Step::Respond(unavailable)]).await;
    let relay = TestRelay::start(&[&one, &two]).await;
    let response = caller::call(relay.address, "/once/7", "").await;
    assert_eq!(
        response.status, 502,
        "503 would promise that the call did not run: {response:?}"
    );
    assert_eq!(arrivals((&one, &two)), 1);
}

#[tokio::test]
async fn idempotent_call_is_retried_at_another_target() {
    let (one, two) = two_targets(vec![]).await;
    let failing =
        ScriptedTarget::start("three", vec![Step::RespondThenClose(String::new()); 9]).await;
    let relay = TestRelay::start(&[&failing, &one, &two]).await;
    for _ in 0..4 {
        let response = caller::call(relay.address, "/idempotent/7", "").await;
        assert_eq!(response.status, 200);
    }
}

#[tokio::test]
async fn answer_to_another_call_is_never_passed_on() {
    let other = success("secret").replace("{id}", "c0");
    let (one, two) = two_targets(vec![Step::Respond(other)]).await;
    let relay = TestRelay::start(&[&one, &two]).await;
    let response = caller::call(relay.address, "/once/7", "").await;
    assert_eq!(response.status, 502);
    assert!(!response.text.contains("secret"));
}

#[tokio::test]
async fn success_without_proof_is_not_passed_on() {
    let unproven = answer("200 OK", "", "made up");
    let (one, two) = two_targets(vec![Step::Respond(unproven)]).await;
    let relay = TestRelay::start(&[&one, &two]).await;
    let response = caller::call(relay.address, "/once/7", "").await;
    assert_eq!(response.status, 502);
}

#[tokio::test]
async fn error_status_of_a_target_is_passed_on_with_its_headers() {
    let failure = answer("500 Internal Server Error", "stamp: s\r\n", "why");
    let (one, two) = two_targets(vec![Step::Respond(failure)]).await;
    let relay = TestRelay::start(&[&one, &two]).await;
    let response = caller::call(relay.address, "/once/7", "").await;
    assert_eq!(response.status, 500);
    assert_eq!(response.header("stamp"), Some("s"));
    assert!(response.text.ends_with("why"));
}

#[tokio::test]
async fn error_status_is_the_answer_if_no_other_target_is_left() {
    let failure = answer("500 Internal Server Error", "stamp: s\r\n", "why");
    let failing = ScriptedTarget::start("one", vec![Step::Respond(failure)]).await;
    let relay = TestRelay::start(&[&failing]).await;
    let response = caller::call(relay.address, "/idempotent/7", "").await;
    assert_eq!(response.status, 500, "{response:?}");
    assert_eq!(response.header("stamp"), Some("s"));
}

/// An answer like `answer`, that names no call.
fn unnamed(answer: &str) -> Step {
    Step::Respond(answer.replace("id: {id}\r\n", ""))
}

/// Guards against taking an extra answer for that of the call which its connection carries by then.
#[tokio::test]
async fn refusal_without_an_id_on_a_used_connection_shows_nothing() {
    let full = answer("503 Service Unavailable", "not-run: 1\r\n", "");
    let script = vec![Step::Respond(success("ok")), unnamed(&full)];
    let target = ScriptedTarget::start("one", script).await;
    let relay = TestRelay::start(&[&target]).await;
    assert_eq!(caller::call(relay.address, "/once/7", "").await.status, 200);
    let response = caller::call_as("c2", relay.address, "/once/8").await;
    assert_eq!(response.status, 502, "the call may run: {response:?}");
    assert_eq!(target.arrived().len(), 2, "it is sent once");
}

/// Guards against passing on the answer to another call.
#[tokio::test]
async fn success_without_an_id_on_a_used_connection_is_not_passed_on() {
    let script = vec![Step::Respond(success("ok")), unnamed(&success("other"))];
    let target = ScriptedTarget::start("one", script).await;
    let relay = TestRelay::start(&[&target]).await;
    assert_eq!(caller::call(relay.address, "/once/7", "").await.status, 200);
    let response = caller::call_as("c2", relay.address, "/once/8").await;
    assert_eq!(response.status, 502, "{response:?}");
}

#[tokio::test]
async fn answers_without_an_id_count_on_connections_of_their_own() {
    let full = answer("503 Service Unavailable", "not-run: 1\r\n", "");
    let script = vec![
        unnamed(&success("ok")),
        unnamed(&success("ok")),
        unnamed(&full),
    ];
    let target = ScriptedTarget::start("one", script).await;
    let relay = TestRelay::start(&[&target]).await;
    for status in [200, 200, 503] {
        let response = caller::call(relay.address, "/once/7", "").await;
        assert_eq!(response.status, status, "{response:?}");
    }
}

/// Guards against believing a target that was not asked.
#[tokio::test]
async fn refusal_that_names_another_target_shows_nothing() {
    let full = answer(
        "503 Service Unavailable",
        "target: another\r\nnot-run: 1\r\n",
        "",
    );
    let (one, two) = two_targets(vec![Step::Respond(full)]).await;
    let relay = TestRelay::start(&[&one, &two]).await;
    let response = caller::call(relay.address, "/once/7", "").await;
    assert_eq!(response.status, 502, "{response:?}");
    assert_eq!(arrivals((&one, &two)), 1);
}

#[tokio::test]
async fn misdirected_call_is_sent_to_another_target_whoever_says_so() {
    let misdirected = answer("421 Misdirected Request", "target: another\r\n", "");
    let one = ScriptedTarget::start("one", vec![Step::Respond(misdirected)]).await;
    let relay = TestRelay::start(&[&one]).await;
    let response = caller::call(relay.address, "/once/7", "").await;
    assert_eq!(response.status, 503, "{response:?}");
}
