//! Calls whose targets cannot be reached are answered by another instance, with the same guarantees.

mod support;

use {
    relay::CallSource,
    std::{sync::Arc, time::Duration},
    support::{
        TestRelay, caller,
        scripted_target::{Arrived, ScriptedTarget, Step, answer, stream},
    },
    tokio::{io::AsyncReadExt, time::sleep},
};

const END: &str = "0\r\n\r\n";
/// Time that another instance takes between two events.
const GAP: Duration = Duration::from_millis(400);

/// An instance that reaches no target, before these other instances.
async fn start(peers: &[&ScriptedTarget], source: CallSource) -> TestRelay {
    let relay = TestRelay::start_for(&[], source).await;
    relay.pass_on_to(peers);
    relay
}

/// A refusal of another instance itself, which says that the call has not run.
fn own_refusal(status: &str) -> Step {
    own_answer(status, "x-rattan-not-run: {id}\r\n")
}

/// An answer of another instance itself, with these headers.
fn own_answer(status: &str, headers: &str) -> Step {
    let text = format!("HTTP/1.1 {status}\r\n{headers}content-length: 2\r\n\r\nno");
    Step::Respond(text)
}

#[tokio::test]
async fn call_is_passed_on_with_its_key_and_body() {
    let peer = ScriptedTarget::start("peer", vec![]).await;
    let relay = start(&[&peer], CallSource::Caller).await;
    let response = caller::call(relay.address, "/once/7?x=1", "extra: 1\r\n").await;
    assert_eq!(response.status, 200, "{response:?}");
    let arrived = peer.arrived();
    assert_eq!(arrived.len(), 1);
    assert!(arrived[0].head.starts_with("POST /once/7?x=1 "));
    for (name, value) in [("key", support::KEY), ("id", "c1"), ("extra", "1")] {
        assert_eq!(arrived[0].header(name), Some(value));
    }
}

/// The configuration of the test relays has version 7.
const VERSION: u64 = 7;

#[tokio::test]
async fn other_instance_is_told_the_version_of_the_configuration() {
    let peer = ScriptedTarget::start("peer", vec![]).await;
    let relay = start(&[&peer], CallSource::Caller).await;
    let forged = "x-rattan-configuration: 99\r\n";
    let response = caller::call(relay.address, "/once/7", forged).await;
    assert_eq!(response.status, 200, "{response:?}");
    let told = peer.arrived()[0]
        .header("x-rattan-configuration")
        .map(str::to_owned);
    assert_eq!(told, Some(VERSION.to_string()));
}

/// Guards against handling a call as only an older configuration allows, after its caller's instance
/// has shown the effects of a newer one.
#[tokio::test]
async fn call_is_not_handled_by_an_older_configuration_than_that_of_its_instance() {
    let target = ScriptedTarget::start("one", vec![]).await;
    let relay = TestRelay::start_for(&[&target], CallSource::Instance).await;
    let newer = format!("x-rattan-configuration: {}\r\n", VERSION + 1);
    let response = caller::call(relay.address, "/once/7", &newer).await;
    assert_eq!(response.status, 503, "{response:?}");
    assert!(response.header("x-rattan-not-run").is_some());
    assert_eq!(target.arrived().len(), 0);
    for version in ["7", "6", "unreadable"] {
        let header = format!("x-rattan-configuration: {version}\r\n");
        let response = caller::call(relay.address, "/once/7", &header).await;
        assert_eq!(response.status, 200, "{version}: {response:?}");
    }
    let told = |arrived: &Arrived| arrived.header("x-rattan-configuration").is_some();
    assert!(
        !target.arrived().iter().any(told),
        "only instances are told"
    );
}

#[tokio::test]
async fn call_of_another_instance_is_not_passed_on_again() {
    let peer = ScriptedTarget::start("peer", vec![]).await;
    let relay = start(&[&peer], CallSource::Instance).await;
    let response = caller::call(relay.address, "/once/7", "").await;
    assert_eq!(response.status, 503, "{response:?}");
    assert_eq!(peer.arrived().len(), 0);
}

#[tokio::test]
async fn call_that_another_instance_may_have_run_is_not_sent_again() {
    let breaks_off = || vec![Step::RespondThenClose(String::new()); 2];
    let one = ScriptedTarget::start("one", breaks_off()).await;
    let two = ScriptedTarget::start("two", breaks_off()).await;
    let relay = start(&[&one, &two], CallSource::Caller).await;
    let response = caller::call(relay.address, "/once/7", "").await;
    assert_eq!(response.status, 502, "{response:?}");
    assert_eq!(one.arrived().len() + two.arrived().len(), 1);
}

#[tokio::test]
async fn call_that_other_instances_do_not_take_is_refused_as_not_run() {
    let statuses = ["503 Busy", "404 Not Found", "401 Unauthorized"];
    let mut peers = Vec::new();
    for status in statuses {
        peers.push(ScriptedTarget::start(status, vec![own_refusal(status)]).await);
    }
    let all: Vec<&ScriptedTarget> = peers.iter().collect();
    let relay = start(&all, CallSource::Caller).await;
    let response = caller::call(relay.address, "/once/7", "").await;
    assert_eq!(response.status, 503, "{response:?}");
    assert!(response.header("retry-after").is_some());
    assert!(peers.iter().all(|peer| peer.arrived().len() == 1));
}

/// Guards against running a call twice because of an answer that may come from a target.
#[tokio::test]
async fn call_is_not_sent_again_after_an_answer_that_does_not_say_that_it_has_not_run() {
    for status in ["400 Bad Request", "404 Not Found", "409 Conflict"] {
        let answers = || vec![own_answer(status, "")];
        let one = ScriptedTarget::start("one", answers()).await;
        let two = ScriptedTarget::start("two", answers()).await;
        let relay = start(&[&one, &two], CallSource::Caller).await;
        let response = caller::call(relay.address, "/once/7", "").await;
        assert_eq!(response.status, 502, "{response:?}");
        assert_eq!(one.arrived().len() + two.arrived().len(), 1, "{status}");
    }
}

/// Guards against running a call again that a target has answered with an error of its own.
#[tokio::test]
async fn error_of_a_target_without_proof_comes_back_from_another_instance_unchanged() {
    let failed = || vec![Step::Respond(answer("409 Conflict", "", "van is taken"))];
    let one = ScriptedTarget::start("one", failed()).await;
    let two = ScriptedTarget::start("two", failed()).await;
    let relay = start(&[&one, &two], CallSource::Caller).await;
    let response = caller::call(relay.address, "/once/7", "").await;
    assert_eq!(response.status, 409, "{response:?}");
    assert!(response.text.ends_with("van is taken"), "{response:?}");
    assert_eq!(one.arrived().len() + two.arrived().len(), 1);
}

/// Guards against believing whatever listens at another instance's address.
#[tokio::test]
async fn plain_refusal_at_the_address_of_an_instance_shows_nothing() {
    let other = ScriptedTarget::start("other", vec![own_answer("503 Busy", "")]).await;
    let relay = start(&[&other], CallSource::Caller).await;
    let response = caller::call(relay.address, "/once/7", "").await;
    assert_eq!(response.status, 502, "{response:?}");
}

/// Builds before refusals named their call.
#[tokio::test]
async fn refusal_that_names_no_call_counts_for_the_first_one_on_a_connection() {
    let unnamed = || own_answer("503 Busy", "x-rattan-not-run: 1\r\n");
    let answered = Step::Respond(answer("200 OK", "stamp: s\r\n", "ok"));
    let old = ScriptedTarget::start("old", vec![unnamed(), answered, unnamed()]).await;
    let relay = start(&[&old], CallSource::Caller).await;
    for (id, status) in [("c1", 503), ("c2", 200), ("c3", 502)] {
        let response = caller::call_as(id, relay.address, "/once/7").await;
        assert_eq!(response.status, status, "{response:?}");
    }
}

/// Guards against taking the id of a call for the word of those builds.
#[tokio::test]
async fn refusal_names_a_call_whose_id_is_the_word_of_older_builds() {
    let served = Step::Respond(answer("200 OK", "stamp: s\r\n", "ok"));
    let peer = ScriptedTarget::start("peer", vec![served, own_refusal("503 Busy")]).await;
    let relay = start(&[&peer], CallSource::Caller).await;
    for (id, status) in [("c1", 200), ("1", 503)] {
        let response = caller::call_as(id, relay.address, "/once/7").await;
        assert_eq!(response.status, status, "{response:?}");
    }
}

/// Guards against taking the refusal of another call for that of this one.
#[tokio::test]
async fn refusal_that_names_another_call_shows_nothing() {
    let refusal = own_answer("503 Busy", "x-rattan-not-run: c0\r\n");
    let peer = ScriptedTarget::start("peer", vec![refusal]).await;
    let relay = start(&[&peer], CallSource::Caller).await;
    let response = caller::call(relay.address, "/once/7", "").await;
    assert_eq!(response.status, 502, "{response:?}");
}

/// Guards against a promise that no instance has made: the target may have run the call.
#[tokio::test]
async fn status_of_a_target_that_another_instance_passes_on_is_no_promise() {
    for status in ["503 Busy", "429 Too Many", "408 Timeout"] {
        let busy = answer(status, "stamp: s\r\n", "busy");
        let peer = ScriptedTarget::start("peer", vec![Step::Respond(busy)]).await;
        let relay = start(&[&peer], CallSource::Caller).await;
        let response = caller::call(relay.address, "/once/7", "").await;
        assert_eq!(response.status, 502, "{response:?}");
        assert_eq!(peer.arrived().len(), 1);
    }
}

#[tokio::test]
async fn other_instances_are_told_that_a_refused_call_has_not_run() {
    for (path, status) in [("/once/7", 503), ("/none/7", 404)] {
        for (source, is_told) in [(CallSource::Instance, true), (CallSource::Caller, false)] {
            let relay = TestRelay::start_for(&[], source).await;
            let response = caller::call(relay.address, path, "").await;
            assert_eq!(response.status, status, "{response:?}");
            let told = response.header("x-rattan-not-run");
            assert_eq!(told, is_told.then_some("c1"));
        }
    }
}

/// Guards against taking a target's header for the word of an instance.
#[tokio::test]
async fn target_cannot_say_that_an_answered_call_has_not_run() {
    let claims = answer("404 Not Found", "x-rattan-not-run: 1\r\n", "no van");
    let target = ScriptedTarget::start("one", vec![Step::Respond(claims)]).await;
    let relay = TestRelay::start_for(&[&target], CallSource::Instance).await;
    let response = caller::call(relay.address, "/once/7", "").await;
    assert_eq!(response.status, 404, "{response:?}");
    assert_eq!(response.header("x-rattan-not-run"), None);
}

#[tokio::test]
async fn failure_of_a_target_comes_back_from_another_instance_unchanged() {
    let failed = answer("500 Failed", "stamp: s\r\n", "broken");
    let peer = ScriptedTarget::start("peer", vec![Step::Respond(failed)]).await;
    let relay = start(&[&peer], CallSource::Caller).await;
    let response = caller::call(relay.address, "/once/7", "").await;
    assert_eq!(response.status, 500);
    assert!(response.text.ends_with("broken"), "{response:?}");
}

#[tokio::test]
async fn stream_comes_back_event_by_event() {
    let first = stream(&["id: 1\ndata: a\n\n"]);
    let rest = "F\r\nid: 2\ndata: b\n\n\r\n".to_owned() + END;
    let step = Step::RespondInTwo(first, GAP, rest);
    let peer = ScriptedTarget::start("peer", vec![step]).await;
    let relay = start(&[&peer], CallSource::Caller).await;
    let mut connection = caller::send(relay.address, "/stream/7", "").await;
    let mut begun = Vec::new();
    while !begun.ends_with(b"data: a\n\n\r\n") {
        assert!(connection.read_buf(&mut begun).await.unwrap() > 0);
    }
    assert!(!String::from_utf8_lossy(&begun).contains("data: b"));
    let mut rest = Vec::new();
    while !rest.ends_with(END.as_bytes()) {
        assert!(connection.read_buf(&mut rest).await.unwrap() > 0);
    }
    assert!(String::from_utf8_lossy(&rest).contains("data: b"));
}

#[tokio::test]
async fn stream_that_another_instance_breaks_off_is_visibly_incomplete() {
    let torn = Step::RespondThenClose(stream(&["id: 1\ndata: a\n\n"]));
    let peer = ScriptedTarget::start("peer", vec![torn]).await;
    let relay = start(&[&peer], CallSource::Caller).await;
    let response = caller::call(relay.address, "/resumable/7", "").await;
    assert!(response.text.contains("data: a"));
    assert!(!response.is_complete, "{response:?}");
}

#[tokio::test]
async fn caller_that_leaves_ends_the_call_at_the_other_instance() {
    let peer = ScriptedTarget::start("peer", vec![Step::NeverRespond]).await;
    let relay = start(&[&peer], CallSource::Caller).await;
    let connection = caller::send(relay.address, "/once/7", "").await;
    while peer.arrived().is_empty() {
        sleep(Duration::from_millis(5)).await;
    }
    drop(connection);
    assert!(peer.saw_caller_disconnect().await);
}

#[tokio::test]
async fn call_that_a_target_may_have_run_is_not_passed_on() {
    let target = ScriptedTarget::start("target", vec![Step::RespondThenClose(String::new())]).await;
    let peer = ScriptedTarget::start("peer", vec![]).await;
    let relay = start(&[&peer], CallSource::Caller).await;
    let mut reached = support::view(&[&target]);
    reached.peers = relay.view.load().peers.clone();
    relay.view.store(Arc::new(reached));
    let response = caller::call(relay.address, "/once/7", "").await;
    assert_eq!(response.status, 502, "{response:?}");
    assert_eq!(peer.arrived().len(), 0);
}
