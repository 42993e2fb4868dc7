//! The copy of a refusal, which arrives where the next answer of its connection is due, counts for nothing.

mod support;

use {
    relay::CallSource,
    support::{
        TestRelay, caller,
        scripted_target::{ScriptedTarget, Step, answer},
    },
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
