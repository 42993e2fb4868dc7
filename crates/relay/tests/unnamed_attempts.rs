//! Streams whose callers name the last event alone, and streams that nobody knows.

mod support;

use {
    std::{sync::Arc, time::Duration},
    support::{
        TestRelay, caller,
        scripted_target::{ScriptedTarget, Step, stream},
    },
    tokio::time::{sleep, timeout},
};

const END: &str = "0\r\n\r\n";
const LAST_EVENT: &str = "last-event-id: 1\r\n";
const NOBODYS: &str = "resumes: nobody\r\nlast-event-id: 1\r\n";
/// Number of streams where targets are chosen at random.
const STREAMS_COUNT: usize = 8;
/// Time after which the view of an instance catches up.
const VIEW_LAG: Duration = Duration::from_millis(400);

/// A target of this software that breaks off the first stream and takes every other one up.
async fn target(name: &str, software: &str) -> ScriptedTarget {
    let mut script = vec![Step::RespondThenClose(stream(&["id: 1\ndata: a\n\n"]))];
    let rest = Step::Respond(stream(&["id: 2\ndata: b\n\n"]) + END);
    script.extend(vec![rest; STREAMS_COUNT]);
    let target = ScriptedTarget::start(name, script).await;
    target.software(software)
}

fn know(relay: &TestRelay, targets: &[&ScriptedTarget]) {
    relay.view.store(Arc::new(support::view(targets)));
}

#[tokio::test]
async fn stream_taken_up_by_its_last_event_goes_on_at_its_software_version() {
    let (first, other) = (target("first", "v1").await, target("other", "v2").await);
    let relay = TestRelay::start_long_known(&[&first]).await;
    caller::call(relay.address, "/resumable/7", "").await;
    // So that it is not under suspicion of a restart.
    let same = target("same", "v1").await;
    know(&relay, &[&same]);
    caller::call_as("other-call", relay.address, "/resumable/8").await;
    know(&relay, &[&same, &other]);
    for _ in 0..STREAMS_COUNT {
        let response = caller::call(relay.address, "/resumable/7", LAST_EVENT).await;
        assert!(response.text.contains("data: b"), "{response:?}");
    }
    assert_eq!(
        (same.arrived().len(), other.arrived().len()),
        (1 + STREAMS_COUNT, 0)
    );
}

/// Guards against a stream of a version that is gone going on at the only one that an instance knows since its start.
#[tokio::test]
async fn unknown_stream_is_refused_by_its_last_event_while_its_pool_is_not_known_for_long() {
    let only = target("only", "v2").await;
    let relay = TestRelay::start(&[&only]).await;
    let response = caller::call(relay.address, "/resumable/7", LAST_EVENT).await;
    assert_eq!(response.status, 503, "{response:?}");
    assert!(only.arrived().is_empty());
}

#[tokio::test]
async fn unknown_stream_goes_on_by_its_last_event_at_the_only_version() {
    let only = target("only", "v1").await;
    let relay = TestRelay::start_long_known(&[&only]).await;
    caller::call_as("other-call", relay.address, "/resumable/8").await;
    let response = caller::call(relay.address, "/resumable/7", LAST_EVENT).await;
    assert_eq!(response.status, 200, "{response:?}");
}

/// Guards against the only version of a view that lags behind the instance which began the stream.
#[tokio::test]
async fn unknown_stream_waits_for_a_current_view_if_no_instance_answers() {
    for headers in [NOBODYS, LAST_EVENT] {
        let (old, new) = (target("old", "v1").await, target("new", "v2").await);
        let relay = TestRelay::start_long_known(&[&old]).await;
        let _silence = relay.view.stream_origins().requests().await;
        let connection = caller::send(relay.address, "/resumable/7", headers).await;
        sleep(VIEW_LAG).await;
        know(&relay, &[&old, &new]);
        let response = caller::read_response(connection).await;
        assert_eq!(response.status, 503, "{headers}: {response:?}");
        assert_eq!(old.arrived().len() + new.arrived().len(), 0);
    }
}

#[tokio::test]
async fn unknown_stream_is_refused_if_no_instance_answers_and_the_view_stays_old() {
    let only = target("only", "v1").await;
    let relay = TestRelay::start_long_known(&[&only]).await;
    let _silence = relay.view.stream_origins().requests().await;
    let call = caller::call(relay.address, "/resumable/7", NOBODYS);
    let response = timeout(support::TIME_LIMIT, call).await.unwrap();
    assert_eq!(response.status, 503, "{response:?}");
    assert!(only.arrived().is_empty());
}

/// Guards against a call that is bound to nothing since its pool was empty when it arrived.
#[tokio::test]
async fn unknown_stream_goes_on_nowhere_after_its_pool_was_empty() {
    let new = target("new", "v2").await;
    let relay = TestRelay::start(&[]).await;
    let silence = relay.view.stream_origins().requests().await;
    let connection = caller::send(relay.address, "/resumable/7", NOBODYS).await;
    sleep(Duration::from_millis(50)).await;
    know(&relay, &[&new]);
    drop(silence);
    let response = caller::read_response(connection).await;
    assert_eq!(response.status, 503, "{response:?}");
    assert!(new.arrived().is_empty());
}
