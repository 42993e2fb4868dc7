//! A stream goes on only where the process is the one that the registration of its target names.

mod support;

use {
    std::sync::Arc,
    support::{
        TestRelay, caller,
        scripted_target::{STARTED_UNIX_MS, ScriptedTarget, Step, stream, unframed},
    },
};

const END: &str = "0\r\n\r\n";
/// Headers of a caller that takes its stream up and names the attempt that began it, or the last event alone.
const TAKE_UPS: [&str; 2] = [
    "resumes: c1\r\nlast-event-id: 1\r\n",
    "last-event-id: 1\r\n",
];
/// Number of streams where one connection serves several.
const STREAMS_COUNT: usize = 5;

/// The first event of a stream, after which the target breaks off.
fn torn() -> Step {
    Step::RespondThenClose(stream(&["id: 1\ndata: a\n\n"]))
}

/// The rest of a stream.
fn rest() -> Step {
    Step::Respond(stream(&["id: 2\ndata: b\n\n"]) + END)
}

/// A target whose process has started again since it registered.
async fn started_again(name: &str, script: Vec<Step>) -> ScriptedTarget {
    let mut target = ScriptedTarget::start(name, script).await;
    target.started_unix_ms = STARTED_UNIX_MS - 1;
    target
}

/// Sends a call that goes to `first`, and makes `all` known before it ends.
async fn call_begun_at(
    relay: &TestRelay,
    first: &ScriptedTarget,
    all: &[&ScriptedTarget],
) -> caller::Response {
    relay.view.store(Arc::new(support::view(&[first])));
    let connection = caller::send(relay.address, "/resumable/7", "").await;
    while first.arrived().is_empty() {
        tokio::task::yield_now().await;
    }
    relay.view.store(Arc::new(support::view(all)));
    caller::read_response(connection).await
}

#[tokio::test]
async fn stream_that_an_unregistered_process_began_does_not_go_on() {
    let first = started_again("first", vec![torn()]).await;
    let other = ScriptedTarget::start("other", vec![rest(); 3]).await;
    let relay = TestRelay::start(&[&first]).await;
    let response = call_begun_at(&relay, &first, &[&first, &other]).await;
    assert!(!response.is_complete, "{response:?}");
    for headers in TAKE_UPS {
        let response = caller::call(relay.address, "/resumable/7", headers).await;
        assert_eq!(response.status, 503, "{headers}: {response:?}");
    }
    assert_eq!(other.arrived().len(), 0);
}

#[tokio::test]
async fn stream_does_not_go_on_at_an_unregistered_process() {
    let first = ScriptedTarget::start("first", vec![torn()]).await;
    let other = started_again("other", vec![rest(); 3]).await;
    let relay = TestRelay::start(&[&first]).await;
    let response = call_begun_at(&relay, &first, &[&first, &other]).await;
    assert!(!response.text.contains("data: b"), "{response:?}");
    assert!(!response.is_complete, "{response:?}");
    relay.view.store(Arc::new(support::view(&[&other])));
    for headers in TAKE_UPS {
        let response = caller::call(relay.address, "/resumable/7", headers).await;
        assert!(
            !response.text.contains("data: b"),
            "{headers}: {response:?}"
        );
    }
}

#[tokio::test]
async fn stream_goes_on_at_the_registered_process_beside_an_unregistered_one() {
    let first = ScriptedTarget::start("first", vec![torn()]).await;
    let again = started_again("again", vec![rest(); STREAMS_COUNT]).await;
    let sound = ScriptedTarget::start("sound", vec![rest(); STREAMS_COUNT]).await;
    let relay = TestRelay::start(&[&first]).await;
    call_begun_at(&relay, &first, &[&first]).await;
    let both = support::view(&[&again, &sound]);
    relay.view.store(Arc::new(both));
    let mut went_on_count = 0;
    for _ in 0..STREAMS_COUNT {
        let response = caller::call(relay.address, "/resumable/7", TAKE_UPS[0]).await;
        assert_eq!(
            response.text.contains("data: b"),
            response.is_complete && response.status == 200,
            "{response:?}"
        );
        went_on_count += usize::from(response.is_complete && response.status == 200);
    }
    assert!(
        again.arrived().len() <= 1,
        "it is known by its first answer"
    );
    assert!(went_on_count >= STREAMS_COUNT - 1);
    assert!(sound.arrived().len() >= STREAMS_COUNT - 1);
}

/// Guards against an end of all streams of targets whose reports do not state a start.
#[tokio::test]
async fn stream_of_a_target_that_states_no_start_goes_on() {
    let first = ScriptedTarget::start("first", vec![torn()]).await;
    let first = first.without_start();
    let other = ScriptedTarget::start("other", vec![rest()]).await;
    let other = other.without_start();
    let relay = TestRelay::start(&[&first]).await;
    let response = call_begun_at(&relay, &first, &[&first, &other]).await;
    assert!(response.is_complete, "{response:?}");
    assert!(response.text.contains("data: b"), "{response:?}");
}

#[tokio::test]
async fn stream_of_a_target_that_does_not_say_which_process_it_is_does_not_go_on() {
    let sound = ScriptedTarget::start("sound", vec![torn()]).await;
    let silent = ScriptedTarget::start("silent", vec![rest()])
        .await
        .slow(2_000);
    let relay = TestRelay::start(&[&sound]).await;
    let response = call_begun_at(&relay, &sound, &[&sound, &silent]).await;
    assert!(!response.text.contains("data: b"), "{response:?}");
    assert!(!response.is_complete, "{response:?}");
}

#[tokio::test]
async fn one_question_serves_all_streams_of_a_connection() {
    let whole = Step::Respond(stream(&["id: 1\ndata: a\n\n"]) + END);
    let target = ScriptedTarget::start("one", vec![whole; STREAMS_COUNT]).await;
    let relay = TestRelay::start(&[&target]).await;
    for index in 0..STREAMS_COUNT {
        let id = format!("c{index}");
        let response = caller::call_as(&id, relay.address, "/resumable/7").await;
        assert!(response.is_complete, "{response:?}");
    }
    assert_eq!(target.identity_requests_count(), 1);
}

#[tokio::test]
async fn target_in_an_evacuated_domain_is_not_asked() {
    let first = ScriptedTarget::start("first", vec![torn()]).await;
    let first = first.slow(1_000).in_domain("near");
    let other = ScriptedTarget::start("other", vec![rest()]).await;
    let relay = TestRelay::start(&[&first]).await;
    let connection = caller::send(relay.address, "/resumable/7", "").await;
    let mut view = support::view(&[&first, &other]);
    view.evacuated_domains.insert("near".to_owned());
    while first.identity_requests_count() < 1 {
        tokio::task::yield_now().await;
    }
    relay.view.store(Arc::new(view));
    let response = caller::read_response(connection).await;
    assert!(!response.is_complete, "{response:?}");
    assert_eq!(
        (first.identity_requests_count(), other.arrived().len()),
        (1, 0)
    );
}

/// Guards against a moment in which other instances take a stream up at the registered version.
#[tokio::test]
async fn origin_of_an_unregistered_process_is_never_told_as_the_registered_one() {
    let first = started_again("first", vec![torn()]).await;
    let relay = TestRelay::start(&[&first]).await;
    caller::call(relay.address, "/resumable/7", "").await;
    let mut requests = relay.view.stream_origins().requests().await;
    let record = requests.records.recv().await.unwrap();
    assert!(record.origin.is_unregistered(), "{record:?}");
}

/// Guards against sound streams without framing that break off until their target has registered.
#[tokio::test]
async fn sound_stream_of_an_unregistered_process_ends_with_its_connection() {
    let whole = Step::RespondThenClose(unframed("id: 1\ndata: a\n\n"));
    let target = started_again("one", vec![whole; STREAMS_COUNT]).await;
    let relay = TestRelay::start(&[&target]).await;
    for index in 0..STREAMS_COUNT {
        let id = format!("c{index}");
        let response = caller::call_as(&id, relay.address, "/resumable/7").await;
        assert!(response.is_complete, "{index}: {response:?}");
    }
}
