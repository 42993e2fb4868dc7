//! Streams: whole events in order, continued or visibly torn.

mod support;

use {
    std::time::{Duration, Instant},
    support::{
        World, caller,
        scripted::{Scripted, Step, stream},
    },
};

const END: &str = "0\r\n\r\n";

#[tokio::test]
async fn stream_is_passed_on_unchanged() {
    let chunks = ["id: 1\ndata: a\n\nid: 2\nda", "ta: b\n\n"];
    let target = Scripted::start("one", vec![Step::Say(stream(&chunks) + END)]).await;
    let world = World::start(&[&target]).await;
    let got = caller::call(world.address, "/stream/7", "").await;
    assert!(got.whole);
    assert!(got.text.contains("id: 1\ndata: a\n\n"));
    assert!(got.text.contains("id: 2\ndata: b\n\n"));
}

#[tokio::test]
async fn torn_stream_that_cannot_be_continued_does_not_look_whole() {
    let partial_stream = stream(&["id: 1\ndata: a\n\nid: 2\ndata: b"]);
    for path in ["/stream/7", "/resumable/7"] {
        let target = Scripted::start("one", vec![Step::Break(partial_stream.clone())]).await;
        let world = World::start(&[&target]).await;
        let got = caller::call(world.address, path, "").await;
        assert_eq!(got.status, 200);
        assert!(!got.whole, "{got:?}");
        assert!(got.text.contains("data: a"));
        assert!(!got.text.contains("data: b"), "half an event is held back");
    }
}

#[tokio::test]
async fn torn_stream_goes_on_after_its_last_whole_event() {
    let partial_stream = stream(&["id: 4\ndata: a\n\nid: 8\ndata: b"]);
    let rest = stream(&["id: 8\ndata: b\n\nid: 9\ndata: c\n\n"]) + END;
    let one = Scripted::start(
        "one",
        vec![Step::Break(partial_stream.clone()), Step::Say(rest.clone())],
    )
    .await;
    let two = Scripted::start("two", vec![Step::Break(partial_stream), Step::Say(rest)]).await;
    // Each target plays its first step to the call that reaches it first; the second step of the
    // other one is not reached, so the continuation gets a torn stream and is not taken up twice.
    let world = World::start(&[&one, &two]).await;
    let got = caller::call(world.address, "/resumable/7", "").await;
    let arrived = [one.arrived(), two.arrived()].concat();
    assert_eq!(arrived.len(), 2, "at most two targets run it");
    assert_eq!(
        arrived
            .iter()
            .filter(|it| it.header("after") == Some("4"))
            .count(),
        1
    );
    assert!(!got.whole, "the continuation began again with event 4");
    assert_eq!(
        got.text.matches("data: a").count(),
        1,
        "no event comes twice"
    );
}

#[tokio::test]
async fn continuation_by_another_target_completes_the_stream() {
    let partial_stream = stream(&["id: 4\ndata: a\n\n"]);
    let rest = stream(&["id: 8\ndata: b\n\n", "id: 9\ndata: c\n\n"]) + END;
    let one = Scripted::start("one", vec![Step::Break(partial_stream.clone())]).await;
    let world = World::start(&[&one]).await;
    let first = caller::send(world.address, "/resumable/7", "").await;
    let two = Scripted::start("two", vec![Step::Say(rest)]).await;
    while one.arrived().is_empty() {
        tokio::task::yield_now().await;
    }
    world
        .view
        .store(std::sync::Arc::new(support::view(&[&one, &two])));
    let got = caller::read(first).await;
    assert!(got.whole, "{got:?}");
    for event in ["data: a", "data: b", "data: c"] {
        assert_eq!(got.text.matches(event).count(), 1);
    }
}

#[tokio::test]
async fn events_out_of_order_end_the_stream() {
    let mixed = stream(&["id: 4\ndata: a\n\nid: 4\ndata: again\n\n"]) + END;
    let target = Scripted::start("one", vec![Step::Say(mixed)]).await;
    let world = World::start(&[&target]).await;
    let got = caller::call(world.address, "/stream/7", "").await;
    assert!(!got.whole);
    assert!(!got.text.contains("again"));
}

#[tokio::test]
async fn target_is_told_at_once_when_the_caller_leaves() {
    for path in ["/stream/7", "/once/7"] {
        let target = Scripted::start("one", vec![Step::Silence]).await;
        let world = World::start(&[&target]).await;
        let connection = caller::send(world.address, path, "").await;
        while target.arrived().is_empty() {
            tokio::task::yield_now().await;
        }
        drop(connection);
        assert!(target.caller_left().await, "{path}");
    }
}

#[tokio::test]
async fn stream_that_is_cut_does_not_look_whole() {
    let partial_stream = stream(&["id: 1\ndata: a\n\n"]);
    let target = Scripted::start("one", vec![Step::Hold(partial_stream)]).await;
    let world = World::start(&[&target]).await;
    let connection = caller::send(world.address, "/resumable/7", "").await;
    while target.arrived().is_empty() {
        tokio::task::yield_now().await;
    }
    tokio::time::sleep(Duration::from_millis(100)).await;
    world.answer_cutoff.trigger();
    let got = caller::read(connection).await;
    assert!(
        got.status == 502 || got.status == 200 && !got.whole,
        "{got:?}"
    );
}

#[tokio::test]
async fn silent_stream_is_waited_for_while_no_other_target_has_time() {
    let partial_stream = stream(&["id: 1\ndata: a\n\n"]);
    let one = Scripted::start("one", vec![Step::Hold(partial_stream)]).await;
    let two = Scripted::start("two", vec![]).await;
    let world = World::start(&[&one]).await;
    let connection = caller::send(world.address, "/gapped/7", "").await;
    while one.arrived().is_empty() {
        tokio::task::yield_now().await;
    }
    let started = Instant::now();
    world.leave(Duration::from_millis(2_500));
    let got = caller::read(connection).await;
    assert!(!got.whole, "{got:?}");
    assert!(started.elapsed() > Duration::from_secs(2), "{got:?}");
    assert!(two.arrived().is_empty());
}
