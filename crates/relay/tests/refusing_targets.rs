//! Targets that fail if they have to refuse too many calls are not made to refuse them.

mod support;

use {
    futures::future::join_all,
    relay::View,
    std::{sync::Arc, time::Duration},
    support::{
        TestRelay, caller,
        scripted_target::{ScriptedTarget, Step, answer, success},
    },
    tokio::time::sleep,
};

/// Number of calls in each check.
const CALLS_COUNT: usize = 30;
/// Number of instances that share the bound, of which the test runs one.
const INSTANCES_COUNT: u32 = 4;
/// Time that a target takes for a call.
const WORK: Duration = Duration::from_millis(300);

/// A refusal of a target that bears two in a second.
fn refusal() -> Step {
    Step::Respond(answer("503 Full", "not-run: 1\r\nmax-refusals: 2\r\n", ""))
}

async fn start(target: &ScriptedTarget) -> TestRelay {
    let relay = TestRelay::start(&[target]).await;
    let view = View {
        instances_count: INSTANCES_COUNT,
        ..View::clone(&relay.view.load())
    };
    relay.view.store(Arc::new(view));
    relay
}

#[tokio::test]
async fn target_that_bears_few_refusals_is_spared_after_one() {
    let target = ScriptedTarget::start("one", vec![refusal(); CALLS_COUNT]).await;
    let relay = start(&target).await;
    for _ in 0..CALLS_COUNT {
        let response = caller::call(relay.address, "/once/7", "").await;
        assert_eq!(response.status, 503);
    }
    assert_eq!(target.arrived().len(), 1);
}

#[tokio::test]
async fn target_that_bears_few_refusals_gets_no_more_calls_than_it_has_places() {
    let states_bound = answer("200 OK", "stamp: s\r\nmax-refusals: 2\r\n", "");
    let slow = Step::RespondInTwo(String::new(), WORK, success("ok"));
    let mut script = vec![Step::Respond(states_bound)];
    script.resize(CALLS_COUNT, slow);
    let target = ScriptedTarget::start("one", script).await;
    let relay = start(&target).await;
    caller::call(relay.address, "/once/7", "").await;
    let calls = (0..CALLS_COUNT).map(|_| caller::call(relay.address, "/once/7", ""));
    join_all(calls).await;
    // Of the target's eight places each of four instances has two.
    assert_eq!(target.arrived().len(), 1 + 2);
}

#[tokio::test]
async fn target_that_states_no_bound_any_more_gets_calls_again() {
    let script = vec![Step::Respond(answer(
        "200 OK",
        "stamp: s\r\nmax-refusals: 2\r\n",
        "",
    ))];
    let target = ScriptedTarget::start("one", script).await;
    let relay = start(&target).await;
    for _ in 0..CALLS_COUNT {
        sleep(Duration::from_millis(2)).await;
        let response = caller::call(relay.address, "/once/7", "").await;
        assert_eq!(response.status, 200);
    }
}
