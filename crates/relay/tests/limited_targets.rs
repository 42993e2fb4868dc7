//! Calls to targets that state a limit.

mod support;

use support::{
    TestRelay, caller,
    scripted_target::{ScriptedTarget, Step, answer},
};

fn limited(limit: &str) -> Step {
    let headers = format!("stamp: s\r\nlimit: {limit}\r\n");
    Step::Respond(answer("200 OK", &headers, "ok"))
}

fn refusal_with_limit(limit: &str, target: &str) -> Step {
    let headers = format!("not-run: 1\r\ntarget: {target}\r\nlimit: {limit}\r\n");
    Step::Respond(answer("421 Misdirected Request", &headers, ""))
}

#[tokio::test]
async fn call_beyond_the_limit_goes_to_another_target() {
    let one = ScriptedTarget::start("one", vec![limited("0.1")]).await;
    let two = ScriptedTarget::start("two", vec![limited("0.1")]).await;
    let three = ScriptedTarget::start("three", vec![]).await;
    let relay = TestRelay::start(&[&one, &two, &three]).await;
    for _ in 0..60 {
        let response = caller::call(relay.address, "/once/1", "").await;
        assert_eq!(response.status, 200);
    }
    assert_eq!(one.arrived().len(), 1);
    assert_eq!(two.arrived().len(), 1);
}

#[tokio::test]
async fn call_is_refused_at_once_if_limits_leave_no_target() {
    let target = ScriptedTarget::start("one", vec![limited("0.5")]).await;
    let relay = TestRelay::start(&[&target]).await;
    caller::call(relay.address, "/once/1", "").await;
    let response = caller::call(relay.address, "/once/2", "").await;
    assert_eq!(response.status, 503);
    let retry_after: f64 = response.header("retry-after").unwrap().parse().unwrap();
    assert!(retry_after > 0.0 && retry_after <= 2.0, "{retry_after}");
    assert_eq!(target.arrived().len(), 1);
}

#[tokio::test]
async fn retry_does_not_exceed_the_limit() {
    let failure = Step::Respond(answer("500 Internal Server Error", "stamp: s\r\n", ""));
    let one = ScriptedTarget::start("one", vec![limited("0.1")]).await;
    let two = ScriptedTarget::start("two", vec![failure; 20]).await;
    let relay = TestRelay::start(&[&one, &two]).await;
    for _ in 0..20 {
        caller::call(relay.address, "/idempotent/1", "").await;
    }
    assert_eq!(one.arrived().len(), 1);
}

#[tokio::test]
async fn limit_ends_with_the_first_answer_that_states_none() {
    // The limit of 20 a second allows another call after 50 ms.
    let target = ScriptedTarget::start("one", vec![limited("20")]).await;
    let relay = TestRelay::start(&[&target]).await;
    caller::call(relay.address, "/once/1", "").await;
    tokio::time::sleep(std::time::Duration::from_millis(200)).await;
    for _ in 0..20 {
        let response = caller::call(relay.address, "/once/1", "").await;
        assert_eq!(response.status, 200);
    }
}

#[tokio::test]
async fn malformed_limit_changes_nothing() {
    let target = ScriptedTarget::start("one", vec![limited("some"), limited("some")]).await;
    let relay = TestRelay::start(&[&target]).await;
    for _ in 0..5 {
        let response = caller::call(relay.address, "/once/1", "").await;
        assert_eq!(response.status, 200);
    }
}

#[tokio::test]
async fn limit_that_another_target_states_is_not_the_targets_own() {
    let target = ScriptedTarget::start("one", vec![refusal_with_limit("0.1", "other")]).await;
    let relay = TestRelay::start(&[&target]).await;
    caller::call(relay.address, "/once/1", "").await;
    let response = caller::call(relay.address, "/once/1", "").await;
    assert_eq!(response.status, 200);
}
