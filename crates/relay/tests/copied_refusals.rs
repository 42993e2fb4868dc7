//! The copy of a refusal, which arrives where the next answer of its connection is due, counts for nothing.

mod support;

use {
    relay::CallSource,
    std::sync::Arc,
    support::{
        TestRelay, caller,
        scripted_target::{ScriptedTarget, Step, answer, stream},
    },
    tokio::task::yield_now,
};

/// Number of fleets among whose targets calls choose by chance.
const ROUNDS_COUNT: usize = 20;

/// Refuses a call, and once more where the next answer on its connection is due.
fn refuse_twice() -> Step {
    let refusal = answer("503 Service Unavailable", "not-run: 1\r\n", "");
    Step::RespondTwice(refusal)
}

/// Says twice that it is not the target that was asked: it has started again under another id.
fn misdirect_twice() -> Step {
    let headers = "target: two\r\nnot-run: 1\r\n";
    Step::RespondTwice(answer("421 Misdirected Request", headers, ""))
}

/// The same of another instance.
fn decline_twice() -> Step {
    let refusal = "HTTP/1.1 503 Busy\r\nx-rattan-not-run: {id}\r\ncontent-length: 0\r\n\r\n";
    Step::RespondTwice(refusal.to_owned())
}

#[tokio::test]
async fn call_that_runs_is_not_refused_by_the_copy_of_its_earlier_refusal() {
    let target = ScriptedTarget::start("one", vec![refuse_twice()]).await;
    let relay = TestRelay::start(&[&target]).await;
    assert_eq!(caller::call(relay.address, "/once/7", "").await.status, 503);
    let response = caller::call(relay.address, "/once/7", "").await;
    assert_eq!(target.arrived().len(), 2, "it runs the second time");
    assert_eq!(response.status, 200, "{response:?}");
}

#[tokio::test]
async fn call_is_not_refused_by_a_copy_that_another_target_left_at_the_address() {
    for refuse in [misdirect_twice(), refuse_twice()] {
        let target = ScriptedTarget::start("one", vec![refuse]).await;
        let successor = ScriptedTarget::at("two", target.address);
        let relay = TestRelay::start(&[&target, &successor]).await;
        let response = caller::call(relay.address, "/once/7", "").await;
        assert_eq!(target.arrived().len(), 2, "it runs the second time");
        assert_eq!(response.status, 200, "{response:?}");
    }
}

#[tokio::test]
async fn call_does_not_run_twice_after_a_copy_that_another_target_left_at_the_address() {
    for refuse in [misdirect_twice(), refuse_twice()] {
        for _ in 0..ROUNDS_COUNT {
            let target = ScriptedTarget::start("one", vec![refuse.clone()]).await;
            let successor = ScriptedTarget::at("two", target.address);
            let other = ScriptedTarget::start("three", vec![]).await;
            let relay = TestRelay::start(&[&target, &successor, &other]).await;
            let response = caller::call(relay.address, "/once/7", "").await;
            let refusals_count = target.arrived().len().min(1);
            let runs_count = target.arrived().len() - refusals_count + other.arrived().len();
            assert_eq!(runs_count, 1, "{response:?}");
        }
    }
}

#[tokio::test]
async fn call_is_not_refused_by_the_copy_of_another_instances_refusal() {
    let peer = ScriptedTarget::start("peer", vec![decline_twice()]).await;
    let same = ScriptedTarget::at("same", peer.address);
    let relay = TestRelay::start_for(&[], CallSource::Caller).await;
    relay.pass_on_to(&[&peer, &same]);
    let response = caller::call(relay.address, "/once/7", "").await;
    assert_eq!(peer.arrived().len(), 2, "it runs the second time");
    assert_eq!(response.status, 200, "{response:?}");
}

#[tokio::test]
async fn call_is_not_refused_by_a_copy_from_before_its_target_started_again() {
    let target = ScriptedTarget::start("one", vec![refuse_twice()]).await;
    let relay = TestRelay::start(&[&target]).await;
    assert_eq!(caller::call(relay.address, "/once/7", "").await.status, 503);
    let mut started_again = ScriptedTarget::at("one", target.address);
    started_again.started_unix_ms += 1;
    relay.view.store(Arc::new(support::view(&[&started_again])));
    let response = caller::call(relay.address, "/once/7", "").await;
    assert_eq!(target.arrived().len(), 2, "it runs the second time");
    assert_eq!(response.status, 200, "{response:?}");
}

/// Guards against a copy that leaves a stream at a silent target, once that has been set aside and restored.
#[tokio::test]
async fn silent_stream_is_resumed_by_a_target_that_left_a_copy_at_the_first_attempt() {
    let first = Step::RespondThenStall(stream(&["id: 1\ndata: a\n\n"]));
    let silent = ScriptedTarget::start("one", vec![first]).await;
    let rest = Step::Respond(stream(&["id: 2\ndata: b\n\n"]) + "0\r\n\r\n");
    let other = ScriptedTarget::start("two", vec![refuse_twice(), rest]).await;
    let relay = TestRelay::start(&[&silent]).await;
    let connection = caller::send(relay.address, "/gapped/7", "").await;
    while silent.arrived().is_empty() {
        yield_now().await;
    }
    relay
        .view
        .store(Arc::new(support::view(&[&silent, &other])));
    let response = caller::read_response(connection).await;
    assert_eq!(other.arrived().len(), 2, "it is asked again");
    assert!(response.is_complete, "{response:?}");
    for event in ["data: a", "data: b"] {
        assert_eq!(response.text.matches(event).count(), 1, "{response:?}");
    }
}

#[tokio::test]
async fn stream_is_resumed_by_a_successor_of_a_target_that_left_a_copy() {
    for _ in 0..ROUNDS_COUNT {
        let rest = Step::Respond(stream(&["id: 2\ndata: b\n\n"]) + "0\r\n\r\n");
        let target = ScriptedTarget::start("one", vec![refuse_twice(), rest]).await;
        let breaks_off = Step::RespondThenClose(stream(&["id: 1\ndata: a\n\n"]));
        let other = ScriptedTarget::start("two", vec![breaks_off]).await;
        let relay = TestRelay::start(&[&target]).await;
        assert_eq!(
            caller::call(relay.address, "/resumable/7", "").await.status,
            503
        );
        relay.view.store(Arc::new(support::view(&[&other])));
        let connection = caller::send(relay.address, "/resumable/7", "").await;
        while other.arrived().is_empty() {
            yield_now().await;
        }
        let successor = target.rename("three");
        relay
            .view
            .store(Arc::new(support::view(&[&other, &successor])));
        let response = caller::read_response(connection).await;
        assert!(response.is_complete, "{response:?}");
        assert!(response.text.contains("data: b"), "{response:?}");
    }
}
