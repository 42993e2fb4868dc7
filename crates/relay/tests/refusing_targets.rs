//! Targets that fail if they have to refuse too many calls are not made to refuse them.

mod support;

use {
    balance::{BoundedPlaces, rendezvous},
    futures::future::join_all,
    relay::{TargetState, View},
    std::{sync::Arc, time::Duration},
    support::{
        TestRelay, caller,
        scripted_target::{ScriptedTarget, Step, answer},
    },
    tokio::time::sleep,
};

/// Number of calls in each check.
const CALLS_COUNT: usize = 30;
/// Number of instances that share the bound, of which the test runs one.
const INSTANCES_COUNT: u32 = 4;
/// Rendezvous seed of that instance.
const OWN_SEED: u64 = 0;
/// Time that a target takes for a call.
const WORK: Duration = Duration::from_millis(300);

/// A refusal of a target that bears two in a second.
fn refusal() -> Step {
    Step::Respond(answer("503 Full", "not-run: 1\r\nmax-refusals: 2\r\n", ""))
}

/// A name of a target of whose places the instance has all or none.
fn target_name(has_places: bool) -> String {
    let names = (0..).map(|index| format!("target-{index}"));
    let mut names = names.filter(|name| {
        let places = BoundedPlaces {
            target_seed: rendezvous::member_seed(name),
            places_count: 8,
            max_refusals_per_s: 2.0,
        };
        (places.part(OWN_SEED, &instance_seeds()) > 0) == has_places
    });
    names.next().unwrap()
}

fn instance_seeds() -> Vec<u64> {
    (OWN_SEED..OWN_SEED + u64::from(INSTANCES_COUNT)).collect()
}

/// Starts a target that states in all answers that it bears two refusals a second, and takes its time for all
/// but the first call. The instance has all its places.
async fn start_slow_target() -> ScriptedTarget {
    let states_bound = answer("200 OK", "stamp: s\r\nmax-refusals: 2\r\n", "");
    let slow = Step::RespondInTwo(String::new(), WORK, states_bound.clone());
    let mut script = vec![Step::Respond(states_bound)];
    script.resize(2 * CALLS_COUNT, slow);
    ScriptedTarget::start(&target_name(true), script).await
}

async fn start(target: &ScriptedTarget) -> TestRelay {
    let relay = TestRelay::start(&[target]).await;
    let view = View {
        instances_count: INSTANCES_COUNT,
        instance_seeds: instance_seeds().into(),
        ..View::clone(&relay.view.load())
    };
    relay.view.store(Arc::new(view));
    relay
}

/// Sends several waves of calls, each after the one before has ended. Returns how many calls of each got
/// to the target.
async fn arrivals_by_wave(relay: &TestRelay, target: &ScriptedTarget) -> Vec<usize> {
    let mut arrivals = Vec::new();
    for _ in 0..5 {
        let before_count = target.arrived().len();
        let calls = (0..CALLS_COUNT).map(|_| caller::call(relay.address, "/once/7", ""));
        join_all(calls).await;
        arrivals.push(target.arrived().len() - before_count);
    }
    arrivals
}

#[tokio::test]
async fn target_that_bears_few_refusals_is_spared_after_one() {
    let target = ScriptedTarget::start(&target_name(true), vec![refusal(); CALLS_COUNT]).await;
    let relay = start(&target).await;
    for _ in 0..CALLS_COUNT {
        let response = caller::call(relay.address, "/once/7", "").await;
        assert_eq!(response.status, 503);
    }
    assert_eq!(target.arrived().len(), 1);
}

#[tokio::test]
async fn target_that_bears_few_refusals_gets_no_more_calls_than_it_has_places() {
    let target = start_slow_target().await;
    let relay = start(&target).await;
    caller::call(relay.address, "/once/7", "").await;
    // One of four instances has all eight places, and sends two calls more than the target has taken.
    let arrivals = arrivals_by_wave(&relay, &target).await;
    assert_eq!(arrivals, [3, 5, 7, 8, 8]);
}

#[tokio::test]
async fn target_that_states_no_bound_any_more_gets_calls_again() {
    let script = vec![Step::Respond(answer(
        "200 OK",
        "stamp: s\r\nmax-refusals: 2\r\n",
        "",
    ))];
    let target = ScriptedTarget::start(&target_name(true), script).await;
    let relay = start(&target).await;
    for _ in 0..CALLS_COUNT {
        sleep(Duration::from_millis(2)).await;
        let response = caller::call(relay.address, "/once/7", "").await;
        assert_eq!(response.status, 200);
    }
}

#[tokio::test]
async fn target_that_has_just_returned_is_taken_to_bear_what_its_pool_states() {
    let target = start_slow_target().await;
    let relay = start(&target).await;
    caller::call(relay.address, "/once/7", "").await;
    let mut view = View::clone(&relay.view.load());
    for target in view.pools.get_mut("pool").into_iter().flatten() {
        *target = Arc::new(TargetState {
            call_stats: Arc::default(),
            ..TargetState::clone(target)
        });
    }
    relay.view.store(Arc::new(view));
    let arrivals = arrivals_by_wave(&relay, &target).await;
    assert_eq!(arrivals, [2, 4, 6, 8, 8]);
}

#[tokio::test]
async fn target_whose_places_another_instance_has_gets_no_calls() {
    let states_bound = answer("200 OK", "stamp: s\r\nmax-refusals: 2\r\n", "");
    let script = vec![Step::Respond(states_bound)];
    let target = ScriptedTarget::start(&target_name(false), script).await;
    let relay = start(&target).await;
    caller::call(relay.address, "/once/7", "").await;
    for _ in 0..CALLS_COUNT {
        let response = caller::call(relay.address, "/once/7", "").await;
        assert_eq!(response.status, 503);
    }
    assert_eq!(target.arrived().len(), 1);
}
