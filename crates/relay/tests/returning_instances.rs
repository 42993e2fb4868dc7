//! Guards against all instances calling a target again in the moment in which its backoff ends.

mod support;

use {
    balance::{rendezvous, return_delay},
    relay::View,
    std::{sync::Arc, time::Duration},
    support::{
        TestRelay, caller,
        scripted_target::{ScriptedTarget, Step, answer},
    },
    tokio::time::{Instant, sleep, sleep_until},
};

const OWN_SEED: u64 = 0;
const INSTANCES_COUNT: u32 = 100;
/// Time that the target names, in seconds.
const RETRY_AFTER_S: &str = "0.4";
const RETRY_AFTER: Duration = Duration::from_millis(400);
/// Pause between two calls.
const PAUSE: Duration = Duration::from_millis(20);

fn instance_seeds() -> Vec<u64> {
    (OWN_SEED..OWN_SEED + u64::from(INSTANCES_COUNT)).collect()
}

/// Time after the backoff at which it is the instance's turn, and the name of a target for which that
/// is late.
fn late_return() -> (Duration, String) {
    let names = (0..).map(|index| format!("target-{index}"));
    let mut returns = names.map(|name| {
        let seed = rendezvous::member_seed(&name);
        (return_delay(seed, OWN_SEED, &instance_seeds()), name)
    });
    let is_late = |delay: &Duration| *delay >= Duration::from_millis(900);
    returns.find(|(delay, _)| is_late(delay)).unwrap()
}

/// A target that has just refused a call and named a time, the relay of one of many instances, and the
/// end of that time.
async fn start(name: &str) -> (ScriptedTarget, TestRelay, Instant) {
    let headers = format!("not-run: 1\r\nretry-after: {RETRY_AFTER_S}\r\n");
    let refusal = answer("503 Service Unavailable", &headers, "");
    let target = ScriptedTarget::start(name, vec![Step::Respond(refusal)]).await;
    let relay = TestRelay::start(&[&target]).await;
    let view = View {
        instances_count: INSTANCES_COUNT,
        instance_seeds: instance_seeds().into(),
        ..View::clone(&relay.view.load())
    };
    relay.view.store(Arc::new(view));
    caller::call(relay.address, "/once/1", "").await;
    (target, relay, Instant::now() + RETRY_AFTER)
}

#[tokio::test]
async fn instance_returns_in_its_turn_and_uses_another_target_meanwhile() {
    let (delay, name) = late_return();
    let (target, relay, backoff_end) = start(&name).await;
    let other = ScriptedTarget::start("other", vec![]).await;
    relay.add_target(&other);
    sleep_until(backoff_end).await;
    while Instant::now() + PAUSE < backoff_end + delay {
        let response = caller::call(relay.address, "/once/1", "").await;
        assert_eq!(response.status, 200);
        sleep(PAUSE).await;
    }
    assert_eq!(target.arrived().len(), 1, "called before its turn");
    sleep_until(backoff_end + delay).await;
    for _ in 0..50 {
        let response = caller::call(relay.address, "/once/1", "").await;
        assert_eq!(response.status, 200);
    }
    assert!(target.arrived().len() > 1, "not called in its turn");
}

#[tokio::test]
async fn only_target_is_called_at_once_after_its_backoff() {
    let (_, name) = late_return();
    let (target, relay, backoff_end) = start(&name).await;
    sleep_until(backoff_end).await;
    for _ in 0..3 {
        let response = caller::call(relay.address, "/once/1", "").await;
        assert_eq!(response.status, 200);
    }
    assert_eq!(target.arrived().len(), 4);
}
