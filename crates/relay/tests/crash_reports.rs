//! Which failed calls are reported as crashes of their targets.

mod support;

use {
    quarantine::{ReportedSuspect, SuspectKey},
    support::{
        TestRelay, caller,
        reported_crashes::{reported_calls, reported_parts, reported_suspects},
        scripted_target::{ScriptedTarget, Step, unframed},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpListener,
    },
};

const PARTS: &str = "parts: template:5,deadly:3,own:1\r\n";

/// Starts a target that answers its first call with `bytes` and then ends.
async fn target_that_ends(name: &str, bytes: impl Into<String>) -> ScriptedTarget {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let bytes = bytes.into();
    let target = ScriptedTarget::at(name, listener.local_addr().unwrap());
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let _ = stream.read(&mut [0; 4_096]).await;
        let _ = stream.write_all(bytes.as_bytes()).await;
    });
    target
}

#[tokio::test]
async fn crash_before_the_answer_names_the_shared_parts() {
    let target = target_that_ends("one", "").await;
    let relay = TestRelay::start(&[&target]).await;
    caller::call(relay.address, "/resumable/1", PARTS).await;
    assert_eq!(reported_parts(&relay).await, ["template", "deadly"]);
}

#[tokio::test]
async fn crash_after_the_head_of_the_answer_names_the_shared_parts() {
    let head = "HTTP/1.1 200 OK\r\nid: c1\r\nstamp: s\r\ntransfer-encoding: chunked\r\n\r\n";
    let target = target_that_ends("one", head).await;
    let relay = TestRelay::start(&[&target]).await;
    caller::call(relay.address, "/resumable/1", PARTS).await;
    assert_eq!(reported_parts(&relay).await, ["template", "deadly"]);
}

#[tokio::test]
async fn crash_before_the_first_event_of_an_unframed_stream_names_the_shared_parts() {
    for body in ["", "id: 1\nda"] {
        let answer = unframed(body).replace("{id}", "c1");
        let target = target_that_ends("one", answer).await;
        let relay = TestRelay::start(&[&target]).await;
        caller::call(relay.address, "/resumable/1", PARTS).await;
        assert_eq!(reported_parts(&relay).await, ["template", "deadly"]);
    }
}

#[tokio::test]
async fn target_that_closes_a_connection_and_lives_has_not_crashed() {
    let close = Step::RespondThenClose(String::new());
    let target = ScriptedTarget::start("one", vec![close.clone(), close]).await;
    let relay = TestRelay::start(&[&target]).await;
    caller::call(relay.address, "/resumable/1", PARTS).await;
    assert!(reported_suspects(&relay).await.is_empty());
}

#[tokio::test]
async fn crash_after_an_event_names_no_part() {
    let answer = "HTTP/1.1 200 OK\r\nid: c1\r\nstamp: s\r\ntransfer-encoding: chunked\r\n\r\n\
                  e\r\nid: 1\ndata: a\n\n\r\n";
    let target = target_that_ends("one", answer).await;
    let relay = TestRelay::start(&[&target]).await;
    caller::call(relay.address, "/resumable/1", PARTS).await;
    assert!(reported_parts(&relay).await.is_empty());
}

#[tokio::test]
async fn answered_parts_are_not_named_after_a_crash() {
    let sound = ScriptedTarget::start("one", vec![]).await;
    let ended = target_that_ends("two", "").await;
    let relay = TestRelay::start(&[&sound]).await;
    let answer = caller::call(
        relay.address,
        "/idempotent/1",
        "parts: template:5,own:1\r\n",
    )
    .await;
    assert_eq!(answer.status, 200);
    relay.view.store(support::view(&[&ended]).into());
    caller::call(relay.address, "/idempotent/2", PARTS).await;
    assert_eq!(reported_parts(&relay).await, ["deadly"]);
}

#[tokio::test]
async fn crash_under_a_plain_call_names_the_call_and_no_part() {
    let target = target_that_ends("one", "").await;
    let relay = TestRelay::start(&[&target]).await;
    caller::call(relay.address, "/once/1", "").await;
    let suspects = reported_suspects(&relay).await;
    let [ReportedSuspect { key, label }] = suspects.as_slice() else {
        panic!("not one suspect: {suspects:?}");
    };
    assert!(matches!(key, SuspectKey::Call(_)));
    assert_eq!(label, "POST /once/1");
}

#[tokio::test]
async fn call_that_is_answered_after_a_crash_is_not_named() {
    let ended = target_that_ends("one", "").await;
    let sound = ScriptedTarget::start("two", vec![]).await;
    let relay = TestRelay::start(&[&ended]).await;
    let cut = caller::call(relay.address, "/idempotent/1", "").await;
    relay.view.store(support::view(&[&sound]).into());
    let answer = caller::call(relay.address, "/idempotent/1", "").await;
    assert_eq!((cut.status, answer.status), (502, 200));
    assert!(reported_calls(&relay).await.is_empty());
}
