//! Calls to targets that state a limit.

mod support;

use {
    relay::{TargetStats, boot_time},
    std::{sync::Arc, time::Duration},
    support::{
        TestRelay, caller,
        scripted_target::{ScriptedTarget, Step, answer},
    },
    tokio::time::sleep,
};

/// A limit in calls per second that allows no call during a test.
const LOW_LIMIT_PER_S: f64 = 0.001;
/// A limit in calls per second that allows a call after a millisecond.
const HIGH_LIMIT_PER_S: f64 = 1_000.0;

fn limited(limit: &str) -> Step {
    let headers = format!("stamp: s\r\nlimit: {limit}\r\n");
    Step::Respond(answer("200 OK", &headers, "ok"))
}

fn refusal_with_limit(limit: &str, target: &str) -> Step {
    let headers = format!("not-run: 1\r\ntarget: {target}\r\nlimit: {limit}\r\n");
    Step::Respond(answer("421 Misdirected Request", &headers, ""))
}

fn stats_of_the_target(relay: &TestRelay) -> Arc<TargetStats> {
    relay.view.load().pools["pool"][0].call_stats.clone()
}

/// Status of a call some time after another instance has announced `limits_per_s` of its only
/// target, one after the other.
async fn status_after_announcements(limits_per_s: &[f64]) -> u16 {
    let target = ScriptedTarget::start("one", vec![]).await;
    let relay = TestRelay::start(&[&target]).await;
    for limit_per_s in limits_per_s {
        stats_of_the_target(&relay).announce_limit(*limit_per_s, boot_time());
    }
    sleep(Duration::from_millis(50)).await;
    caller::call(relay.address, "/once/1", "").await.status
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
    sleep(Duration::from_millis(200)).await;
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

#[tokio::test]
async fn raised_limit_holds_once_announced() {
    let limits_per_s = [LOW_LIMIT_PER_S, HIGH_LIMIT_PER_S];
    assert_eq!(status_after_announcements(&limits_per_s).await, 200);
}

#[tokio::test]
async fn lowered_limit_holds_once_announced() {
    let limits_per_s = [HIGH_LIMIT_PER_S, LOW_LIMIT_PER_S];
    assert_eq!(status_after_announcements(&limits_per_s).await, 503);
}

#[tokio::test]
async fn limit_that_an_answer_states_outweighs_announcements() {
    let target = ScriptedTarget::start("one", vec![limited("0.001")]).await;
    let relay = TestRelay::start(&[&target]).await;
    let response = caller::call(relay.address, "/once/1", "").await;
    assert_eq!(response.status, 200);
    stats_of_the_target(&relay).announce_limit(HIGH_LIMIT_PER_S, boot_time());
    sleep(Duration::from_millis(50)).await;
    let response = caller::call(relay.address, "/once/2", "").await;
    assert_eq!(response.status, 503);
}

#[tokio::test]
async fn announced_limit_ends_when_its_end_is_announced() {
    let target = ScriptedTarget::start("one", vec![]).await;
    let relay = TestRelay::start(&[&target]).await;
    let call_stats = stats_of_the_target(&relay);
    call_stats.announce_limit(LOW_LIMIT_PER_S, boot_time());
    call_stats.announce_limit_end(boot_time());
    let response = caller::call(relay.address, "/once/1", "").await;
    assert_eq!(response.status, 200);
}
