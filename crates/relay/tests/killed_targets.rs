//! Answers that have neither a length nor chunks, of targets that are killed: the operating system ends their
//! connections like those of complete answers, and their addresses may go on accepting.

mod support;

use {
    std::{
        sync::{
            Arc,
            atomic::{AtomicU32, Ordering},
        },
        time::Duration,
    },
    support::{
        TestRelay, caller,
        scripted_target::{
            STARTED_UNIX_MS, ScriptedTarget, Step, Successor, stream, success, unframed,
        },
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpListener,
        task::yield_now,
        time::{sleep, timeout},
    },
};

const END: &str = "0\r\n\r\n";
/// Paths of a stream and of a call whose answer is read as a whole, and the bodies of answers there.
const WHOLE_BODIES: [(&str, &str); 2] = [
    ("/stream/7", "id: 1\ndata: a\n\n"),
    ("/once/7", "all of a body"),
];

/// Calls `target` through a relay.
async fn call(target: &ScriptedTarget, path: &str) -> caller::Response {
    let relay = TestRelay::start(&[target]).await;
    caller::call(relay.address, path, "").await
}

/// Checks that the answer of `target` at `path` is `body`, and whole.
async fn assert_whole(target: &ScriptedTarget, path: &str, body: &str) {
    let response = call(target, path).await;
    assert!(
        response.is_complete && response.text.contains(body),
        "{path}: {response:?}"
    );
}

/// A target that is killed after its first event.
async fn killed_target(name: &str) -> ScriptedTarget {
    let killed = Step::RespondThenDie(unframed("id: 1\ndata: a\n\n"));
    ScriptedTarget::start(name, vec![killed]).await
}

/// Sends a call to `one` and adds `two` to the targets once it has arrived there.
async fn call_beside(one: &ScriptedTarget, two: &ScriptedTarget) -> caller::Response {
    let relay = TestRelay::start(&[one]).await;
    let connection = caller::send(relay.address, "/resumable/7", "").await;
    while one.arrived().is_empty() {
        yield_now().await;
    }
    relay.view.store(Arc::new(support::view(&[one, two])));
    caller::read_response(connection).await
}

#[tokio::test]
async fn stream_of_a_killed_target_is_visibly_incomplete() {
    for path in ["/stream/7", "/resumable/7"] {
        let target = killed_target("one").await;
        let response = call(&target, path).await;
        assert!(!response.is_complete, "{path}: {response:?}");
        assert!(response.text.contains("data: a"));
    }
}

/// Guards against any transfer coding counting as chunks.
#[tokio::test]
async fn stream_without_chunks_of_a_killed_target_is_visibly_incomplete() {
    let head = "HTTP/1.1 200 OK\r\nid: {id}\r\nstamp: s\r\ntransfer-encoding: identity\r\n\r\n";
    let killed = Step::RespondThenDie(format!("{head}id: 1\ndata: a\n\n"));
    let target = ScriptedTarget::start("one", vec![killed]).await;
    let response = call(&target, "/stream/7").await;
    assert!(!response.is_complete, "{response:?}");
}

#[tokio::test]
async fn stream_of_a_killed_target_is_resumed_by_another_one() {
    let one = killed_target("one").await;
    let rest = stream(&["id: 2\ndata: b\n\n"]) + END;
    let two = ScriptedTarget::start("two", vec![Step::Respond(rest)]).await;
    let response = call_beside(&one, &two).await;
    assert!(response.is_complete, "{response:?}");
    assert_eq!(two.arrived()[0].header("after"), Some("1"));
}

#[tokio::test]
async fn resumed_stream_whose_target_is_killed_before_an_event_is_visibly_incomplete() {
    let one = killed_target("one").await;
    let two = ScriptedTarget::start("two", vec![Step::RespondThenDie(unframed(""))]).await;
    let response = call_beside(&one, &two).await;
    assert_eq!(two.arrived().len(), 1);
    assert!(!response.is_complete, "{response:?}");
}

#[tokio::test]
async fn body_of_a_killed_target_is_no_whole_answer() {
    let killed = Step::RespondThenDie(unframed("half of a"));
    let target = ScriptedTarget::start("one", vec![killed]).await;
    let response = call(&target, "/once/7").await;
    assert_eq!(response.status, 502, "{response:?}");
}

#[tokio::test]
async fn body_of_a_target_that_goes_on_is_whole() {
    let answer = Step::RespondThenClose(unframed("all of a body"));
    let target = ScriptedTarget::start("one", vec![answer]).await;
    let response = call(&target, "/once/7").await;
    assert_eq!(response.status, 200, "{response:?}");
    assert!(response.is_complete && response.text.contains("all of a body"));
}

/// Who accepts at the address of a target `one` after all connections to it have ended: it itself if
/// the path was cut for a moment.
fn successors() -> [Successor; 4] {
    [
        Successor::Proxy,
        Successor::Target("one".to_owned(), Some(STARTED_UNIX_MS)),
        Successor::Target("other".to_owned(), Some(STARTED_UNIX_MS + 1)),
        Successor::Target("one".to_owned(), Some(STARTED_UNIX_MS + 1)),
    ]
}

/// A target `one` that sends `body`, and whose address then goes on accepting without it.
async fn passed_target(body: &str, successor: Successor) -> ScriptedTarget {
    let step = Step::RespondThenPass(unframed(body), successor);
    ScriptedTarget::start("one", vec![step]).await
}

#[tokio::test]
async fn stream_of_a_target_whose_address_goes_on_accepting_is_visibly_incomplete() {
    for successor in successors() {
        for path in ["/stream/7", "/resumable/7"] {
            let target = passed_target("id: 1\ndata: a\n\n", successor.clone()).await;
            let response = call(&target, path).await;
            assert!(!response.is_complete, "{successor:?} {path}: {response:?}");
            assert!(response.text.contains("data: a"));
        }
    }
}

#[tokio::test]
async fn stream_of_a_target_whose_address_goes_on_accepting_is_resumed_by_another_one() {
    for successor in successors() {
        let one = passed_target("id: 1\ndata: a\n\n", successor.clone()).await;
        let rest = stream(&["id: 2\ndata: b\n\n"]) + END;
        let two = ScriptedTarget::start("two", vec![Step::Respond(rest)]).await;
        let response = call_beside(&one, &two).await;
        assert!(response.is_complete, "{successor:?}: {response:?}");
        assert_eq!(two.arrived()[0].header("after"), Some("1"));
    }
}

#[tokio::test]
async fn body_of_a_target_whose_address_goes_on_accepting_is_no_whole_answer() {
    for successor in successors() {
        let target = passed_target("half of a", successor.clone()).await;
        let response = call(&target, "/once/7").await;
        assert_eq!(response.status, 502, "{successor:?}: {response:?}");
    }
}

/// Guards against a connection that is kept from earlier answers showing more than one opened beside the answer.
#[tokio::test]
async fn answers_after_others_are_no_whole_ones_if_the_address_goes_on_accepting() {
    for successor in successors().into_iter().chain([Successor::SilentProxy]) {
        for (path, body) in WHOLE_BODIES {
            let script = vec![
                Step::RespondThenEnd(unframed(body)),
                Step::RespondThenPass(unframed(body), successor.clone()),
            ];
            let target = ScriptedTarget::start("one", script).await;
            let relay = TestRelay::start(&[&target]).await;
            let first = caller::call(relay.address, path, "").await;
            assert!(first.is_complete && first.status == 200, "{first:?}");
            sleep(Duration::from_millis(300)).await;
            let response = caller::call(relay.address, path, "").await;
            assert!(
                !response.is_complete || response.status != 200,
                "{successor:?} {path}: {response:?}"
            );
        }
    }
}

#[tokio::test]
async fn stream_whose_target_is_silent_after_its_end_is_visibly_incomplete() {
    let target = passed_target("id: 1\ndata: a\n\n", Successor::SilentProxy).await;
    let response = call(&target, "/stream/7").await;
    assert!(!response.is_complete, "{response:?}");
}

/// Guards against a restarted target that states no start time counting as the one before.
#[tokio::test]
async fn stream_of_a_target_that_restarts_without_a_stated_start_is_visibly_incomplete() {
    let successor = Successor::Target("one".to_owned(), None);
    let target = passed_target("id: 1\ndata: a\n\n", successor).await;
    let response = call(&target, "/stream/7").await;
    assert!(!response.is_complete, "{response:?}");
}

#[tokio::test]
async fn stream_of_a_target_without_a_stated_start_is_whole() {
    let answer = Step::RespondThenClose(unframed("id: 1\ndata: a\n\n"));
    let target = ScriptedTarget::start("one", vec![answer])
        .await
        .without_start();
    let response = call(&target, "/stream/7").await;
    assert!(response.is_complete, "{response:?}");
}

#[tokio::test]
async fn answers_of_a_target_that_leaves_before_they_end_are_whole() {
    for (path, body) in WHOLE_BODIES {
        let answer = Step::RespondThenLeave(unframed(body));
        let target = ScriptedTarget::start("one", vec![answer]).await;
        assert_whole(&target, path, body).await;
    }
}

#[tokio::test]
async fn whole_unframed_answer_costs_one_request_and_framed_ones_none() {
    let script = vec![Step::RespondThenClose(unframed("all of a body"))];
    let target = ScriptedTarget::start("one", script).await;
    let relay = TestRelay::start(&[&target]).await;
    for _ in 0..3 {
        let response = caller::call(relay.address, "/once/7", "").await;
        assert_eq!(response.status, 200, "{response:?}");
    }
    assert_eq!(target.identity_requests_count(), 1);
}

/// Guards against what a target wrote before it was killed counting as its word afterwards.
#[tokio::test]
async fn late_answer_on_a_kept_connection_does_not_show_that_a_killed_target_lives() {
    let answer = success("ok");
    let (begin, rest) = answer.split_at(answer.len() - 1);
    let slow = Step::RespondInTwo(begin.to_owned(), Duration::from_millis(10), rest.to_owned());
    let body = unframed("id: 1\ndata: a\n\n");
    let killed = Step::RespondThenPass(body, Successor::LateProxy);
    let target = ScriptedTarget::start("one", vec![slow, killed]).await;
    let relay = TestRelay::start(&[&target]).await;
    let kept = caller::send(relay.address, "/once/7", "").await;
    while target.arrived().is_empty() {
        yield_now().await;
    }
    let killed = caller::send(relay.address, "/stream/7", "").await;
    assert_eq!(caller::read_response(kept).await.status, 200);
    let response = caller::read_response(killed).await;
    assert!(!response.is_complete, "{response:?}");
}

/// Guards against a sound answer counting as broken off because its end came together with its head.
#[tokio::test]
async fn short_answers_that_end_at_once_are_whole() {
    for (path, body) in WHOLE_BODIES {
        let answer = Step::RespondThenEnd(unframed(body));
        let target = ScriptedTarget::start("one", vec![answer]).await;
        let target = target.without_start();
        assert_whole(&target, path, body).await;
    }
}

#[tokio::test]
async fn answer_of_a_target_that_is_full_when_it_ends_is_whole() {
    let answer = Step::RespondThenClose(unframed("all of a body"));
    let target = ScriptedTarget::start("one", vec![answer]).await.full();
    let response = call(&target, "/once/7").await;
    assert!(
        response.is_complete && response.status == 200,
        "{response:?}"
    );
}

/// Guards against the refusal of another target behind a proxy counting as that of a target that is full.
#[tokio::test]
async fn answer_after_which_another_target_refuses_the_question_is_no_whole_answer() {
    let answer = Step::RespondThenClose(unframed("half of a"));
    let target = ScriptedTarget::start("one", vec![answer]).await;
    let response = call(&target.misdirected(), "/once/7").await;
    assert_eq!(response.status, 502, "{response:?}");
}

/// Guards against a whole stream being sent elsewhere while its target takes long to say that it lives.
#[tokio::test]
async fn whole_stream_is_not_resumed_while_its_target_is_asked() {
    let answer = Step::RespondThenClose(unframed("id: 1\ndata: a\n\n"));
    let one = ScriptedTarget::start("one", vec![answer; 2]).await;
    let two = ScriptedTarget::start("two", vec![]).await;
    let relay = TestRelay::start(&[&one]).await;
    // The end of the first answer of a pool is not proven.
    let response = caller::call(relay.address, "/gapped/7", "").await;
    assert!(response.is_complete, "{response:?}");
    one.slow_down(1_500);
    let connection = caller::send(relay.address, "/gapped/7", "").await;
    while one.arrived().len() < 2 {
        yield_now().await;
    }
    relay.add_target(&two);
    let response = caller::read_response(connection).await;
    assert!(response.is_complete, "{response:?}");
    // Once after each answer and on the spare connection; before the first call; and, since it is slow then, on two
    // connections before the second call.
    assert_eq!((one.identity_requests_count(), two.arrived().len()), (6, 0));
}

/// Serves one stream without framing for 700 ms. Ends all other connections at once, and counts them.
async fn serve_one_stream(listener: TcpListener, others_count: Arc<AtomicU32>) {
    let (mut stream, _) = listener.accept().await.unwrap();
    let mut head = vec![0; 4_096];
    assert!(stream.read(&mut head).await.unwrap() > 0);
    let answer = unframed("id: 1\ndata: a\n\n").replace("{id}", "c1");
    stream.write_all(answer.as_bytes()).await.unwrap();
    let accepting = async {
        while listener.accept().await.is_ok() {
            others_count.fetch_add(1, Ordering::Relaxed);
        }
    };
    let _ = timeout(Duration::from_millis(700), accepting).await;
}

#[tokio::test]
async fn target_that_ends_the_connections_beside_an_answer_is_not_flooded() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let target = ScriptedTarget::at("one", listener.local_addr().unwrap());
    let others_count = Arc::new(AtomicU32::new(0));
    tokio::spawn(serve_one_stream(listener, others_count.clone()));
    let response = call(&target, "/stream/7").await;
    assert!(!response.is_complete, "{response:?}");
    let count = others_count.load(Ordering::Relaxed);
    assert!((1..=5).contains(&count), "{count} connections");
}

/// Guards against a sound stream counting as broken off because the target's new registration is not known yet.
#[tokio::test]
async fn stream_of_a_target_that_has_restarted_before_its_registration_is_whole() {
    let begin = unframed("id: 1\ndata: a\n\n");
    let rest = "id: 2\ndata: b\n\n".to_owned();
    let answer = Step::RespondInTwoThenEnd(begin, Duration::from_millis(100), rest);
    let mut target = ScriptedTarget::start("one", vec![answer]).await;
    target.started_unix_ms = STARTED_UNIX_MS - 1;
    let response = call(&target, "/stream/7").await;
    assert!(response.is_complete, "{response:?}");
}
