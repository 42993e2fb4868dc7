//! A stream goes on only where an answer shows that it fits, on every path that it takes.

mod support;

use {
    support::{
        TestRelay, caller,
        scripted_target::{ScriptedTarget, Step, stream, unframed},
    },
    tokio::task::yield_now,
};

const END: &str = "0\r\n\r\n";
/// Header of a caller that has the events up to the fourth.
const AFTER_4: &str = "last-event-id: 4\r\n";

/// Guards against taking the crash of a target before its first event for the end of a resumed stream.
#[tokio::test]
async fn unframed_resumption_without_an_event_is_no_end() {
    let cut = Step::RespondThenClose(unframed(""));
    let target = ScriptedTarget::start("one", vec![cut.clone()]).await;
    let relay = TestRelay::start(&[&target]).await;
    let response = caller::call(relay.address, "/resumable/7", AFTER_4).await;
    assert_eq!(response.status, 502, "{response:?}");
    let torn = Step::RespondThenClose(stream(&["id: 4\ndata: a\n\n"]));
    let one = ScriptedTarget::start("one", vec![torn]).await;
    let two = ScriptedTarget::start("two", vec![cut]).await;
    let relay = TestRelay::start(&[&one]).await;
    let connection = caller::send(relay.address, "/resumable/7", "").await;
    while one.arrived().is_empty() {
        yield_now().await;
    }
    relay.add_target(&two);
    let response = caller::read_response(connection).await;
    assert_eq!(two.arrived().len(), 1);
    assert!(!response.is_complete, "{response:?}");
}

#[tokio::test]
async fn framed_resumption_without_an_event_is_the_end() {
    let length = unframed("").replace("stamp", "content-length: 0\r\nstamp");
    for end in [stream(&[]) + END, length] {
        let target = ScriptedTarget::start("one", vec![Step::Respond(end)]).await;
        let relay = TestRelay::start(&[&target]).await;
        let response = caller::call(relay.address, "/resumable/7", AFTER_4).await;
        assert_eq!(response.status, 200, "{response:?}");
        assert!(response.is_complete, "{response:?}");
    }
}

/// Guards against the length of a first answer that is shorter or longer than its continuation.
#[tokio::test]
async fn resumed_stream_does_not_keep_the_length_of_its_first_answer() {
    for length in [25, 300] {
        let head = format!("content-length: {length}\r\nstamp");
        let torn = unframed("id: 4\ndata: a\n\nid: 5").replace("stamp", &head);
        let one = ScriptedTarget::start("one", vec![Step::RespondThenClose(torn)]).await;
        let rest = stream(&["id: 5\ndata: b\n\n", "id: 6\ndata: c\n\n"]) + END;
        let two = ScriptedTarget::start("two", vec![Step::Respond(rest)]).await;
        let relay = TestRelay::start(&[&one]).await;
        let connection = caller::send(relay.address, "/resumable/7", "").await;
        while one.arrived().is_empty() {
            yield_now().await;
        }
        relay.add_target(&two);
        let response = caller::read_response(connection).await;
        assert!(response.is_complete, "{response:?}");
        for event in ["data: a\n\n", "data: b\n\n", "data: c\n\n"] {
            assert_eq!(response.text.matches(event).count(), 1, "{response:?}");
        }
    }
}
