//! Targets of an evacuated failure domain get nothing new, by any path.

mod support;

use {
    balance::RetryBounds,
    parts::{CachedPart, Change, Store, part_key},
    relay::{CallSource, View, boot_time},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    support::{
        TestRelay, caller,
        scripted_target::{ScriptedTarget, Step, stream},
    },
    tokio::time::{sleep, timeout},
};

/// Number of calls in each check.
const CALLS_COUNT: usize = 20;
/// Time within which a call that is refused at once has its answer.
const REFUSAL_TIME: Duration = Duration::from_secs(1);
/// Time that a target takes before it breaks off.
const WORK: Duration = Duration::from_millis(300);
/// Time within which a target is asked whether it has crashed.
const CHECK_TIME: Duration = Duration::from_secs(3);
const END: &str = "0\r\n\r\n";
const PROMPT: &str = "parts: t:64,s:64,o:9\r\n";

/// Sets the evacuated failure domains.
fn evacuate(relay: &TestRelay, domains: &[&str]) {
    let mut view = View::clone(&relay.view.load());
    view.evacuated_domains = domains.iter().map(|&it| it.to_owned()).collect();
    relay.view.store(Arc::new(view));
}

async fn far_target(script: Vec<Step>) -> ScriptedTarget {
    ScriptedTarget::start("far", script).await.in_domain("far")
}

async fn near_target(script: Vec<Step>) -> ScriptedTarget {
    ScriptedTarget::start("near", script)
        .await
        .in_domain("near")
}

#[tokio::test]
async fn calls_go_to_the_other_domains_until_the_evacuation_ends() {
    let (near, far) = (near_target(vec![]).await, far_target(vec![]).await);
    let relay = TestRelay::start(&[&near, &far]).await;
    evacuate(&relay, &["far", "nowhere"]);
    for _ in 0..CALLS_COUNT {
        let response = caller::call(relay.address, "/once/1", "").await;
        assert_eq!(response.status, 200, "{response:?}");
    }
    assert_eq!(
        (near.arrived().len(), far.arrived().len()),
        (CALLS_COUNT, 0)
    );
    evacuate(&relay, &["near"]);
    let response = caller::call(relay.address, "/once/1", "").await;
    assert_eq!(response.status, 200, "{response:?}");
    assert_eq!(far.arrived().len(), 1, "it is used again");
}

#[tokio::test]
async fn retry_does_not_go_to_an_evacuated_domain() {
    let fails = vec![Step::RespondThenClose(String::new()); CALLS_COUNT];
    let (near, far) = (near_target(fails).await, far_target(vec![]).await);
    let relay = TestRelay::start(&[&near, &far]).await;
    evacuate(&relay, &["far"]);
    for _ in 0..CALLS_COUNT {
        let response = caller::call(relay.address, "/idempotent/1", "").await;
        assert_eq!(response.status, 502, "{response:?}");
    }
    assert_eq!(far.arrived().len(), 0);
}

#[tokio::test]
async fn torn_stream_does_not_go_on_in_an_evacuated_domain() {
    let torn = Step::RespondThenClose(stream(&["id: 1\ndata: a\n\n"]));
    let rest = Step::Respond(stream(&["id: 2\ndata: b\n\n"]) + END);
    let near = near_target(vec![torn.clone(), torn]).await;
    let far = far_target(vec![rest.clone()]).await;
    let relay = TestRelay::start(&[&near, &far]).await;
    evacuate(&relay, &["far"]);
    let response = caller::call(relay.address, "/resumable/1", "").await;
    assert!(!response.is_complete, "{response:?}");
    assert_eq!(far.arrived().len(), 0);
    let here = ScriptedTarget::start("here", vec![rest]).await;
    relay.add_target(&here);
    evacuate(&relay, &["far", "near"]);
    let resumed = caller::call(relay.address, "/resumable/1", "last-event-id: 1\r\n").await;
    assert!(resumed.text.contains("data: b"), "{resumed:?}");
    assert_eq!(far.arrived().len(), 0);
}

/// Guards against a stream that is cut because its failure domain is evacuated, and against its resumption
/// there once it breaks off.
#[tokio::test]
async fn stream_that_runs_in_an_evacuated_domain_goes_on_to_its_end() {
    let begun = stream(&["id: 1\ndata: a\n\n"]);
    let rest = "10\r\nid: 2\ndata: bb\n\n\r\n0\r\n\r\n".to_owned();
    let step = Step::RespondInTwo(begun, Duration::from_millis(400), rest);
    let far = far_target(vec![step]).await;
    let relay = TestRelay::start(&[&far]).await;
    let stream = caller::send(relay.address, "/resumable/1", "").await;
    while far.arrived().is_empty() {
        sleep(Duration::from_millis(5)).await;
    }
    sleep(Duration::from_millis(100)).await;
    evacuate(&relay, &["far"]);
    let response = caller::read_response(stream).await;
    assert!(response.is_complete, "{response:?}");
    assert!(response.text.contains("data: bb"), "{response:?}");
    assert_eq!(far.arrived().len(), 1);
}

/// Guards against a call that waits for its deadline, or is sent there after all, if only evacuated targets
/// are left.
#[tokio::test]
async fn call_is_refused_at_once_if_only_evacuated_targets_are_left() {
    let far = far_target(vec![]).await;
    for source in [CallSource::Caller, CallSource::Instance] {
        let relay = TestRelay::start_all(&[&far], RetryBounds::default(), source).await;
        evacuate(&relay, &["far"]);
        for path in ["/once/1", "/idempotent/1", "/stream/1", "/resumable/1"] {
            let answered = timeout(REFUSAL_TIME, caller::call(relay.address, path, "")).await;
            let response = answered.expect("a refusal at once");
            assert_eq!(response.status, 503, "{response:?}");
            assert!(response.text.contains("evacuated"), "{response:?}");
            assert!(response.header("retry-after").is_some(), "{response:?}");
            let is_told = response.header("x-rattan-not-run").is_some();
            assert_eq!(is_told, source == CallSource::Instance, "{response:?}");
        }
    }
    assert_eq!(far.arrived().len(), 0);
}

/// Guards against the word that a stream's software version is gone for good while it only waits in an
/// evacuated failure domain.
#[tokio::test]
async fn stream_whose_version_is_evacuated_is_told_to_come_back() {
    let torn = Step::RespondThenClose(stream(&["id: 1\ndata: a\n\n"]));
    let far = far_target(vec![torn]).await.software("1");
    let near = near_target(vec![]).await.software("2");
    let relay = TestRelay::start(&[&far]).await;
    caller::call(relay.address, "/resumable/1", "").await;
    relay.add_target(&near);
    evacuate(&relay, &["far"]);
    let headers = "last-event-id: 1\r\nresumes: c1\r\n";
    let response = caller::call(relay.address, "/resumable/1", headers).await;
    assert_eq!(response.status, 503, "{response:?}");
    assert!(response.text.contains("evacuated"), "{response:?}");
    assert_eq!((near.arrived().len(), far.arrived().len()), (0, 1));
}

/// Guards against calls that are passed on to another instance, which may send them nowhere either.
#[tokio::test]
async fn call_is_not_passed_on_if_only_evacuated_targets_are_left() {
    let peer = ScriptedTarget::start("peer", vec![]).await;
    let relay = TestRelay::start_before_peer(&peer).await;
    evacuate(&relay, &["here"]);
    let response = caller::call(relay.address, "/once/1", "").await;
    assert_eq!(response.status, 503, "{response:?}");
    assert_eq!(peer.arrived().len(), 0);
}

/// Number of questions which process a target is, after it broke off a call while these failure domains were
/// evacuated.
async fn questions_after_a_break(domains: &[&str]) -> u32 {
    let breaks = Step::RespondInTwoThenEnd(String::new(), WORK, String::new());
    let far = far_target(vec![breaks]).await;
    let relay = TestRelay::start(&[&far]).await;
    let call = caller::send(relay.address, "/once/1", "").await;
    while far.arrived().is_empty() {
        sleep(Duration::from_millis(5)).await;
    }
    evacuate(&relay, domains);
    let response = caller::read_response(call).await;
    assert_eq!(response.status, 502, "{response:?}");
    sleep(CHECK_TIME).await;
    far.identity_requests_count()
}

/// Guards against questions to a target in an evacuated failure domain whether it has crashed.
#[tokio::test]
async fn target_in_an_evacuated_domain_is_not_asked_whether_it_has_crashed() {
    assert!(questions_after_a_break(&["near"]).await > 0);
    assert_eq!(questions_after_a_break(&["far"]).await, 0);
}

/// Guards against prompt parts that are fetched from an engine in an evacuated failure domain, and against
/// a store there that is no longer used.
#[tokio::test]
async fn parts_are_fetched_from_stores_but_not_from_engines_of_an_evacuated_domain() {
    let (near, far) = (near_target(vec![]).await, far_target(vec![]).await);
    let relay = TestRelay::start(&[&near, &far]).await;
    evacuate(&relay, &["far"]);
    caller::call(relay.address, "/once/7", PROMPT).await;
    let arrived = near.arrived();
    let salt = arrived[0].header("salt").unwrap_or_default().to_owned();
    hold_parts(&relay, far.address, &salt);
    caller::call(relay.address, "/once/7", PROMPT).await;
    let fetch = near.arrived()[1].header("fetch").map(str::to_owned);
    assert!(
        !fetch.unwrap_or_default().contains(&far.address.to_string()),
        "nothing is fetched from the engine"
    );
    let store = SocketAddr::from(([127, 0, 0, 1], 9));
    add_store(&relay, store);
    hold_parts(&relay, store, &salt);
    caller::call(relay.address, "/once/7", PROMPT).await;
    let fetch = near.arrived()[2].header("fetch").map(str::to_owned);
    assert!(
        fetch.unwrap_or_default().contains(&store.to_string()),
        "the store is used"
    );
}

/// Has the relay know a store in the evacuated failure domain.
fn add_store(relay: &TestRelay, address: SocketAddr) {
    let mut cache_index = relay.cache_index.lock().unwrap();
    let mut store = Store::new(address, 10_000);
    "far".clone_into(&mut store.failure_domain);
    cache_index.set_store(store);
    cache_index.set_reported(address, boot_time());
}

/// Has the relay know that a place holds the shared parts of the prompt.
fn hold_parts(relay: &TestRelay, place: SocketAddr, salt: &str) {
    let mut cache_index = relay.cache_index.lock().unwrap();
    let parts = ["t", "s"].map(|id| CachedPart {
        part: part_key(salt, id),
        tokens: 64,
    });
    let change = Change::Held {
        place,
        parts: parts.to_vec(),
    };
    cache_index.apply(&change, boot_time());
}
