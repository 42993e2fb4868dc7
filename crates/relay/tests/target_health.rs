//! Which failed calls count against a target, so that it is ejected.

mod support;

use {
    std::time::Duration,
    support::{
        TestRelay, caller,
        scripted_target::{ScriptedTarget, Step, answer},
    },
};

/// Number of calls with which each target is chosen at least twice.
const CALLS_COUNT: usize = 60;

fn failures() -> Vec<Step> {
    let failure = answer("500 Internal Server Error", "stamp: s\r\n", "why");
    vec![Step::Respond(failure); CALLS_COUNT]
}

/// Ids of the ejected targets.
fn ejected_targets(relay: &TestRelay) -> Vec<String> {
    let view = relay.view.load();
    let targets = view.pools["pool"].iter();
    let ejected = targets.filter(|target| target.call_stats.is_ejected(Duration::ZERO));
    ejected.map(|target| target.id.clone()).collect()
}

#[tokio::test]
async fn call_that_fails_everywhere_does_not_count_against_its_targets() {
    let one = ScriptedTarget::start("one", failures()).await;
    let two = ScriptedTarget::start("two", failures()).await;
    let relay = TestRelay::start(&[&one, &two]).await;
    for _ in 0..CALLS_COUNT {
        let response = caller::call(relay.address, "/idempotent/7", "").await;
        assert_eq!(response.status, 500);
    }
    assert!(
        ejected_targets(&relay).is_empty(),
        "{:?}",
        ejected_targets(&relay)
    );
}

#[tokio::test]
async fn target_that_fails_calls_another_one_answers_is_ejected() {
    let one = ScriptedTarget::start("one", failures()).await;
    let two = ScriptedTarget::start("two", vec![]).await;
    let relay = TestRelay::start(&[&one, &two]).await;
    for _ in 0..CALLS_COUNT {
        let response = caller::call(relay.address, "/idempotent/7", "").await;
        assert_eq!(response.status, 200);
    }
    assert_eq!(ejected_targets(&relay), ["one"]);
}

#[tokio::test]
async fn target_that_fails_calls_without_retry_is_ejected() {
    let one = ScriptedTarget::start("one", failures()).await;
    let relay = TestRelay::start(&[&one]).await;
    for _ in 0..2 {
        let response = caller::call(relay.address, "/once/7", "").await;
        assert_eq!(response.status, 500);
    }
    assert_eq!(ejected_targets(&relay), ["one"]);
}
