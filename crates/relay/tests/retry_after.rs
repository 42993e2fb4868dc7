//! Targets that refuse calls and name a time get no calls until then.

mod support;

use {
    futures::future::join_all,
    std::time::{Duration, Instant},
    support::{
        TestRelay, caller,
        scripted_target::{ScriptedTarget, Step, answer, success},
    },
    tokio::time::sleep,
};

/// Number of calls in each check.
const CALLS_COUNT: usize = 20;
/// Calls that may reach a target in the time for which it wants none.
const MAX_CALLS_COUNT: usize = 2;
/// Time that the targets name, in seconds.
const RETRY_AFTER_S: &str = "1.2";
const RETRY_AFTER: Duration = Duration::from_millis(1_200);

fn refusal_text(retry_after: &str) -> String {
    let headers = format!("not-run: 1\r\nretry-after: {retry_after}\r\n");
    answer("503 Service Unavailable", &headers, "")
}

fn refusal(retry_after: &str) -> Step {
    Step::Respond(refusal_text(retry_after))
}

/// A target that has two calls under way before it refuses them with these times, and the relay
/// before it, half a second after that.
async fn after_two_refusals(first: &str, second: &str) -> (ScriptedTarget, TestRelay) {
    let refusal = |text| {
        Step::RespondInTwo(
            String::new(),
            Duration::from_millis(150),
            refusal_text(text),
        )
    };
    let target = ScriptedTarget::start("one", vec![refusal(first), refusal(second)]).await;
    let relay = TestRelay::start(&[&target]).await;
    join_all([(); 2].map(|()| caller::call(relay.address, "/once/1", ""))).await;
    sleep(Duration::from_millis(500)).await;
    (target, relay)
}

/// Number of calls that reach a target whose only answer so far is `first`, while another target
/// answers.
async fn calls_after(first: Step) -> usize {
    let target = ScriptedTarget::start("one", vec![first]).await;
    let relay = TestRelay::start(&[&target]).await;
    caller::call(relay.address, "/once/1", "").await;
    let other = ScriptedTarget::start("two", vec![]).await;
    relay.add_target(&other);
    for _ in 0..CALLS_COUNT {
        // Longer than any call avoids a target that refused one without naming a time.
        sleep(Duration::from_millis(30)).await;
        let response = caller::call(relay.address, "/once/1", "").await;
        assert_eq!(response.status, 200);
    }
    target.arrived().len() - 1
}

#[tokio::test]
async fn target_gets_no_call_before_the_time_that_it_named() {
    assert!(calls_after(refusal(RETRY_AFTER_S)).await <= MAX_CALLS_COUNT);
}

#[tokio::test]
async fn time_that_a_refusal_names_counts_although_it_does_not_say_that_the_call_has_not_run() {
    let headers = format!("retry-after: {RETRY_AFTER_S}\r\n");
    let first = Step::Respond(answer("503 Service Unavailable", &headers, ""));
    assert!(calls_after(first).await <= MAX_CALLS_COUNT);
}

#[tokio::test]
async fn enormous_time_is_no_error() {
    assert!(calls_after(refusal("1e15")).await <= MAX_CALLS_COUNT);
}

#[tokio::test]
async fn malformed_time_changes_nothing() {
    let target = ScriptedTarget::start("one", vec![refusal("soon")]).await;
    let relay = TestRelay::start(&[&target]).await;
    caller::call(relay.address, "/once/1", "").await;
    let response = caller::call(relay.address, "/once/1", "").await;
    assert_eq!(response.status, 200);
}

#[tokio::test]
async fn only_target_gets_no_call_and_callers_learn_the_true_time() {
    let target = ScriptedTarget::start("one", vec![refusal(RETRY_AFTER_S); CALLS_COUNT]).await;
    let relay = TestRelay::start(&[&target]).await;
    let refused_at = Instant::now();
    for _ in 0..CALLS_COUNT {
        let response = caller::call(relay.address, "/idempotent/1", "").await;
        assert_eq!(response.status, 503);
        let retry_after: f64 = response.header("retry-after").unwrap().parse().unwrap();
        let left = RETRY_AFTER
            .saturating_sub(refused_at.elapsed())
            .as_secs_f64();
        assert!(retry_after > left - 0.1, "{retry_after} of {left} s");
        assert!(retry_after <= RETRY_AFTER.as_secs_f64(), "{retry_after}");
    }
    assert!(refused_at.elapsed() < RETRY_AFTER, "refused at once");
    assert!(target.arrived().len() <= MAX_CALLS_COUNT);
}

#[tokio::test]
async fn later_refusal_does_not_shorten_the_time() {
    let (target, relay) = after_two_refusals(RETRY_AFTER_S, "0.1").await;
    let response = caller::call(relay.address, "/once/1", "").await;
    assert_eq!(response.status, 503);
    assert_eq!(target.arrived().len(), 2);
}

#[tokio::test]
async fn later_refusal_extends_the_time() {
    let (target, relay) = after_two_refusals("0.1", RETRY_AFTER_S).await;
    let response = caller::call(relay.address, "/once/1", "").await;
    assert_eq!(response.status, 503);
    assert_eq!(target.arrived().len(), 2);
}

#[tokio::test]
async fn target_is_used_again_after_the_time_without_a_rush() {
    let slow = Step::RespondInTwo(String::new(), Duration::from_millis(100), success("ok"));
    let mut script = vec![refusal("0.4")];
    script.resize(100, slow);
    let target = ScriptedTarget::start("one", script).await;
    let relay = TestRelay::start(&[&target]).await;
    caller::call(relay.address, "/once/1", "").await;
    sleep(Duration::from_millis(500)).await;
    let calls = || async {
        let calls = (0..CALLS_COUNT).map(|_| caller::call(relay.address, "/once/1", ""));
        let responses = join_all(calls).await;
        responses.iter().filter(|it| it.status == 200).count()
    };
    assert_eq!(
        calls().await,
        1,
        "one call shows whether the target takes calls again"
    );
    assert_eq!(calls().await, 2);
    assert_eq!(calls().await, 4);
}
