//! Which calls are refused while their pool has too little room.

mod support;

use {
    balance::TargetLoad,
    relay::{View, boot_time},
    routes::RouteTable,
    std::{sync::Arc, time::Duration},
    support::{
        LARGE_FLEET_INSTANCES_COUNT, TestRelay,
        caller::{self, Response},
        scripted_target::ScriptedTarget,
    },
};

/// Number of calls of a test, of which far fewer than all run under pressure.
const CALLS_COUNT: usize = 60;
/// Calls in flight of all instances that fill the target.
const FULL_CALLS_COUNT: u32 = 140;
/// A prompt of one part that no other call shares.
const PROMPT: &str = "parts: a:10\r\n";
/// Age of reports that are always current.
const FUTURE: Duration = Duration::from_hours(1);

/// A relay in front of a full target that starts no call within its objective.
async fn overloaded_relay(target: &ScriptedTarget) -> TestRelay {
    let relay = TestRelay::start(&[target]).await;
    set_instances_count(&relay, LARGE_FLEET_INSTANCES_COUNT);
    let mut view = View::clone(&relay.view.load());
    let mut config = view.route_table.as_ref().unwrap().config().clone();
    for route in &mut config.routes {
        route.latency_objective = Duration::from_nanos(1);
    }
    view.route_table = Some(Arc::new(RouteTable::new(config)));
    relay.view.store(Arc::new(view));
    report_calls(&relay, FULL_CALLS_COUNT, boot_time() + FUTURE);
    relay
}

fn set_instances_count(relay: &TestRelay, instances_count: u32) {
    let mut view = View::clone(&relay.view.load());
    view.instances_count = instances_count;
    relay.view.store(Arc::new(view));
}

/// Has another instance report, at `at`, the calls that nearly all instances have in flight at the target.
fn report_calls(relay: &TestRelay, calls_count: u32, at: Duration) {
    let view = relay.view.load();
    let load = TargetLoad {
        target_seed: view.pools["pool"][0].seed,
        calls_count,
        tokens_count: 0,
        unread_tokens_count: 0,
    };
    let mut peer_loads = relay.peer_loads.lock().unwrap();
    peer_loads.set("peer", vec![load], LARGE_FLEET_INSTANCES_COUNT - 1, at);
}

/// Sends calls one by one, and returns the refusals.
async fn refusals(relay: &TestRelay, path: &str, headers: &str) -> Vec<Response> {
    let mut refusals = Vec::new();
    for index in 0..CALLS_COUNT {
        let id = format!("call-{index}");
        let response = caller::call_with(&id, relay.address, path, headers).await;
        if response.status != 200 {
            refusals.push(response);
        }
    }
    refusals
}

#[tokio::test]
async fn some_calls_are_refused_under_pressure_and_none_reaches_the_target() {
    let target = ScriptedTarget::start("one", vec![]).await;
    let relay = overloaded_relay(&target).await;
    let refusals = refusals(&relay, "/idempotent/7", PROMPT).await;
    assert!(!refusals.is_empty() && refusals.len() < CALLS_COUNT);
    assert_eq!(target.arrived().len(), CALLS_COUNT - refusals.len());
    for refusal in &refusals {
        assert_eq!(refusal.status, 503, "{}", refusal.text);
        assert!(
            refusal.text.contains("too many calls wait"),
            "{}",
            refusal.text
        );
        let retry_after_s: f64 = refusal.header("retry-after").unwrap().parse().unwrap();
        assert!(retry_after_s <= 1.0, "a third of the time limit is 1 s");
    }
    let metrics = relay.meters.prometheus_text();
    let count = refusals.len();
    for line in [
        format!("rattan_overload_refusals_total{{kind=\"pressure\"}} {count}"),
        format!("rattan_overload_refusals_by_priority_total{{kind=\"0\"}} {count}"),
    ] {
        assert!(metrics.contains(&line), "{line} is not in {metrics}");
    }
}

#[tokio::test]
async fn call_that_cannot_start_before_its_limit_is_refused_at_once() {
    let target = ScriptedTarget::start("one", vec![]).await;
    let relay = overloaded_relay(&target).await;
    let learned = refusals(&relay, "/idempotent/7", PROMPT).await;
    assert!(learned.len() < CALLS_COUNT);
    report_calls(&relay, u32::MAX / 2, boot_time() + FUTURE);
    let response = caller::call_with("late", relay.address, "/idempotent/7", PROMPT).await;
    assert_eq!(response.status, 503);
    assert!(
        response.text.contains("would not start before"),
        "{}",
        response.text
    );
}

/// Checks that nothing is refused after a `change` of an overloaded relay.
async fn check_none_refused_after(change: impl Fn(&TestRelay)) {
    let target = ScriptedTarget::start("one", vec![]).await;
    let relay = overloaded_relay(&target).await;
    change(&relay);
    let refusals = refusals(&relay, "/idempotent/7", PROMPT).await;
    assert!(refusals.is_empty(), "{refusals:?}");
}

/// Guards against refusals in deployments that are served as before.
#[tokio::test]
async fn nothing_is_refused_with_few_instances() {
    let few_count = LARGE_FLEET_INSTANCES_COUNT - 1;
    check_none_refused_after(|relay| set_instances_count(relay, few_count)).await;
}

#[tokio::test]
async fn nothing_is_refused_with_old_loads() {
    check_none_refused_after(|relay| report_calls(relay, FULL_CALLS_COUNT, Duration::ZERO)).await;
}

#[tokio::test]
async fn nothing_is_refused_with_free_slots() {
    check_none_refused_after(|relay| report_calls(relay, 0, boot_time() + FUTURE)).await;
}

/// Guards against calls of services, whose loads are not known, and streams under way being refused.
#[tokio::test]
async fn calls_without_a_prompt_and_resumed_streams_are_not_refused() {
    let target = ScriptedTarget::start("one", vec![]).await;
    let relay = overloaded_relay(&target).await;
    let without_prompt = refusals(&relay, "/idempotent/7", "").await;
    assert!(without_prompt.is_empty(), "{without_prompt:?}");
    let resumed = format!("{PROMPT}last-event-id: 3\r\n");
    let resumed = refusals(&relay, "/idempotent/7", &resumed).await;
    assert!(resumed.is_empty(), "{resumed:?}");
}
