//! A stream goes on only where an answer shows that it fits, on every path that it takes.

mod support;

use {
    std::time::Duration,
    support::{
        TestRelay, caller,
        scripted_target::{ScriptedTarget, Step, stream, unframed},
    },
    tokio::{io::AsyncReadExt, task::yield_now, time::timeout},
};

const END: &str = "0\r\n\r\n";
/// Header of a caller that has the events up to the fourth.
const AFTER_4: &str = "last-event-id: 4\r\n";
/// Time for a test to add a target while another one answers.
const PAUSE: Duration = Duration::from_millis(100);

fn rest() -> String {
    stream(&["id: 5\ndata: b\n\n"]) + END
}

/// Sends a call to a target that answers with `first`, and adds one that answers with `second`.
async fn call_two(path: &str, headers: &str, first: String, second: Step) -> caller::Response {
    let first = Step::RespondInTwo(String::new(), PAUSE, first);
    let one = ScriptedTarget::start("one", vec![first]).await;
    let two = ScriptedTarget::start("two", vec![second]).await;
    let relay = TestRelay::start_long_known(&[&one]).await;
    let connection = caller::send(relay.address, path, headers).await;
    while one.arrived().is_empty() {
        yield_now().await;
    }
    relay.add_target(&two);
    caller::read_response(connection).await
}

/// An instance that reaches no target, before another instance that answers with `answer`.
async fn call_through_peer(path: &str, headers: &str, answer: Step) -> caller::Response {
    let peer = ScriptedTarget::start("peer", vec![answer]).await;
    let relay = TestRelay::start_before_peer(&peer).await;
    caller::call(relay.address, path, headers).await
}

/// Guards against taking the crash of a target before its first event for the end of a resumed stream.
#[tokio::test]
async fn unframed_resumption_without_an_event_is_no_end() {
    let cut = Step::RespondThenClose(unframed(""));
    let target = ScriptedTarget::start("one", vec![cut.clone()]).await;
    let relay = TestRelay::start_long_known(&[&target]).await;
    let response = caller::call(relay.address, "/resumable/7", AFTER_4).await;
    assert_eq!(response.status, 502, "{response:?}");
    let torn = Step::RespondThenClose(stream(&["id: 4\ndata: a\n\n"]));
    let one = ScriptedTarget::start("one", vec![torn]).await;
    let two = ScriptedTarget::start("two", vec![cut]).await;
    let relay = TestRelay::start_long_known(&[&one]).await;
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
        let relay = TestRelay::start_long_known(&[&target]).await;
        let response = caller::call(relay.address, "/resumable/7", AFTER_4).await;
        assert_eq!(response.status, 200, "{response:?}");
        assert!(response.is_complete, "{response:?}");
    }
}

/// Guards against a caller that gets events again, or events of another run, after the ones it has.
#[tokio::test]
async fn resumption_that_begins_again_never_reaches_its_caller() {
    for again in ["id: 1\ndata: x\n\n", "id: 4\ndata: x\n\n", "data: x\n\n"] {
        let again = stream(&[again]) + END;
        let target = ScriptedTarget::start("one", vec![Step::Respond(again.clone())]).await;
        let relay = TestRelay::start_long_known(&[&target]).await;
        let response = caller::call(relay.address, "/resumable/7", AFTER_4).await;
        assert_eq!(response.status, 502, "{response:?}");
        let rest = Step::Respond(rest());
        let response = call_two("/resumable/7", AFTER_4, again, rest).await;
        assert!(response.is_complete, "{response:?}");
        assert!(response.text.contains("data: b"), "{response:?}");
        assert!(!response.text.contains("data: x"), "{response:?}");
    }
}

#[tokio::test]
async fn last_event_id_means_nothing_where_streams_are_not_resumed() {
    let begun = stream(&["id: 1\ndata: a\n\n"]) + END;
    let target = ScriptedTarget::start("one", vec![Step::Respond(begun)]).await;
    let relay = TestRelay::start_long_known(&[&target]).await;
    let response = caller::call(relay.address, "/stream/7", AFTER_4).await;
    assert!(response.is_complete, "{response:?}");
}

/// Guards against a gap or a repeat after an event that has no place in the order.
#[tokio::test]
async fn stream_is_not_resumed_after_an_event_without_an_id() {
    let torn = stream(&["id: 4\ndata: a\n\n", "data: x\n\n", "id: 5\nda"]);
    let one = ScriptedTarget::start("one", vec![Step::RespondThenClose(torn)]).await;
    let two = ScriptedTarget::start("two", vec![Step::Respond(rest())]).await;
    let relay = TestRelay::start_long_known(&[&one]).await;
    let connection = caller::send(relay.address, "/resumable/7", "").await;
    while one.arrived().is_empty() {
        yield_now().await;
    }
    relay.add_target(&two);
    let response = caller::read_response(connection).await;
    assert!(!response.is_complete, "{response:?}");
    assert!(two.arrived().is_empty());
}

/// Guards against a caller that gets a part of an event, or events out of order, from another instance.
#[tokio::test]
async fn stream_of_another_instance_is_checked_event_by_event() {
    let part = stream(&["id: 1\ndata: a\n\nid: 2\ndata: x"]);
    let repeat = stream(&["id: 1\ndata: a\n\n", "id: 1\ndata: x\n\n"]) + END;
    let cut = unframed("id: 1\ndata: a\n\nid: 2\ndata: x");
    for answer in [part, repeat, cut] {
        let answer = Step::RespondThenClose(answer);
        let response = call_through_peer("/stream/7", "", answer).await;
        assert!(response.text.contains("data: a"), "{response:?}");
        assert!(!response.text.contains("data: x"), "{response:?}");
        assert!(!response.is_complete, "{response:?}");
    }
}

/// Guards against events that pass unchecked, or sound ones that are lost, where several share a chunk.
#[tokio::test]
async fn events_that_arrive_together_are_checked_one_by_one() {
    let good = "id: 1\ndata: a\n\nid: 4\ndata: c\n\n";
    for bad in ["id: 4\ndata: x\n\nid: 5\ndata: x\n\n", "id: 3\ndata: x\n\n"] {
        let answer = stream(&[&format!("{good}{bad}")]) + END;
        let target = ScriptedTarget::start("one", vec![Step::Respond(answer.clone())]).await;
        let relay = TestRelay::start_long_known(&[&target]).await;
        let from_target = caller::call(relay.address, "/stream/7", "").await;
        let from_peer = call_through_peer("/stream/7", "", Step::Respond(answer.clone())).await;
        for response in [from_target, from_peer] {
            assert!(response.text.contains(good), "{response:?}");
            assert!(!response.text.contains("data: x"), "{response:?}");
            assert!(!response.is_complete, "{response:?}");
        }
        let resumed = call_two("/resumable/7", "", answer, Step::Respond(rest())).await;
        assert!(resumed.is_complete, "{resumed:?}");
        assert!(resumed.text.contains(good), "{resumed:?}");
        assert!(resumed.text.contains("data: b"), "{resumed:?}");
        assert!(!resumed.text.contains("data: x"), "{resumed:?}");
    }
}

/// Guards against events that wait for later ones, to be forwarded together with them.
#[tokio::test]
async fn event_is_forwarded_although_the_next_one_is_not_complete() {
    let first = stream(&["id: 1\ndata: a\n\nid: 2\nda"]);
    let second = "7\r\nta: b\n\n\r\n".to_owned() + END;
    let answer = Step::RespondInTwo(first, Duration::from_secs(1), second);
    let target = ScriptedTarget::start("one", vec![answer.clone()]).await;
    let of_target = TestRelay::start_long_known(&[&target]).await;
    let peer = ScriptedTarget::start("peer", vec![answer]).await;
    let of_peer = TestRelay::start_before_peer(&peer).await;
    for relay in [of_target, of_peer] {
        let mut connection = caller::send(relay.address, "/stream/7", "").await;
        let mut bytes = Vec::new();
        let mut read_until = async |end: &[u8]| {
            while !bytes.windows(end.len()).any(|window| window == end) {
                assert!(connection.read_buf(&mut bytes).await.unwrap() > 0);
            }
        };
        let first = read_until(b"data: a\n\n");
        timeout(Duration::from_millis(500), first).await.unwrap();
        let rest = async {
            read_until(b"id: 2\ndata: b\n\n").await;
            read_until(END.as_bytes()).await;
        };
        timeout(Duration::from_secs(3), rest).await.unwrap();
    }
}

/// Guards against attempts beyond those that the other instance has made within the call's.
#[tokio::test]
async fn broken_stream_of_another_instance_is_not_resumed_here() {
    let torn = Step::RespondThenClose(stream(&["id: 1\ndata: a\n\n"]));
    let peer = ScriptedTarget::start("peer", vec![torn, Step::Respond(rest())]).await;
    let relay = TestRelay::start_before_peer(&peer).await;
    let response = caller::call(relay.address, "/resumable/7", "").await;
    assert!(response.text.contains("data: a"), "{response:?}");
    assert!(!response.is_complete, "{response:?}");
    assert_eq!(peer.arrived().len(), 1);
}

/// Guards against an answer that waits on although the instance ends, after it has waited before.
#[tokio::test]
async fn stream_of_another_instance_is_cut_after_several_events() {
    let first = stream(&["id: 1\ndata: a\n\n"]);
    let second = "f\r\nid: 2\ndata: b\n\n\r\n".to_owned();
    let in_two = Step::RespondInTwo(first, PAUSE, second);
    let peer = ScriptedTarget::start("peer", vec![in_two]).await;
    let relay = TestRelay::start_before_peer(&peer).await;
    let mut connection = caller::send(relay.address, "/resumable/7", "").await;
    let mut bytes = Vec::new();
    while !String::from_utf8_lossy(&bytes).contains("data: b\n\n") {
        assert!(connection.read_buf(&mut bytes).await.unwrap() > 0);
    }
    relay.answer_cutoff.trigger();
    let rest = timeout(
        Duration::from_millis(500),
        connection.read_to_end(&mut bytes),
    );
    rest.await.unwrap().unwrap();
    assert!(!bytes.ends_with(END.as_bytes()));
    assert_eq!(relay.answer_cutoff.cut_count(), 1);
}

#[tokio::test]
async fn resumption_of_another_instance_that_begins_again_never_reaches_its_caller() {
    let again = stream(&["id: 1\ndata: x\n\n"]) + END;
    let response = call_through_peer("/resumable/7", AFTER_4, Step::Respond(again)).await;
    assert_eq!(response.status, 502, "{response:?}");
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
        let relay = TestRelay::start_long_known(&[&one]).await;
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
