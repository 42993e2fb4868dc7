//! Streams deliver complete events in order, and are resumed or visibly incomplete after a failure.

mod support;

use {
    routes::RouteTable,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    support::{
        TestRelay, caller,
        scripted_target::{ScriptedTarget, Step, stream, unframed},
    },
};

const END: &str = "0\r\n\r\n";

#[tokio::test]
async fn stream_is_forwarded_unchanged() {
    let chunks = ["id: 1\ndata: a\n\nid: 2\nda", "ta: b\n\n"];
    let target = ScriptedTarget::start("one", vec![Step::Respond(stream(&chunks) + END)]).await;
    let relay = TestRelay::start(&[&target]).await;
    let response = caller::call(relay.address, "/stream/7", "").await;
    assert!(response.is_complete);
    assert!(response.text.contains("id: 1\ndata: a\n\n"));
    assert!(response.text.contains("id: 2\ndata: b\n\n"));
}

#[tokio::test]
async fn torn_stream_that_cannot_be_resumed_is_visibly_incomplete() {
    let partial_stream = stream(&["id: 1\ndata: a\n\nid: 2\ndata: b"]);
    for path in ["/stream/7", "/resumable/7"] {
        let target =
            ScriptedTarget::start("one", vec![Step::RespondThenClose(partial_stream.clone())])
                .await;
        let relay = TestRelay::start(&[&target]).await;
        let response = caller::call(relay.address, path, "").await;
        assert_eq!(response.status, 200);
        assert!(!response.is_complete, "{response:?}");
        assert!(response.text.contains("data: a"));
        assert!(
            !response.text.contains("data: b"),
            "a partial event is not forwarded"
        );
    }
}

#[tokio::test]
async fn torn_stream_is_resumed_after_its_last_complete_event() {
    let partial_stream = stream(&["id: 4\ndata: a\n\nid: 8\ndata: b"]);
    let remaining = stream(&["id: 8\ndata: b\n\nid: 9\ndata: c\n\n"]) + END;
    let one = ScriptedTarget::start(
        "one",
        vec![
            Step::RespondThenClose(partial_stream.clone()),
            Step::Respond(remaining.clone()),
        ],
    )
    .await;
    let two = ScriptedTarget::start(
        "two",
        vec![
            Step::RespondThenClose(partial_stream),
            Step::Respond(remaining),
        ],
    )
    .await;
    // The second target also plays its first step, a partial stream that repeats event 4. The relay
    // must reject it and, with two attempts allowed, not try a third time.
    let relay = TestRelay::start(&[&one, &two]).await;
    let response = caller::call(relay.address, "/resumable/7", "").await;
    let arrived = [one.arrived(), two.arrived()].concat();
    assert_eq!(arrived.len(), 2, "at most two targets run it");
    assert_eq!(
        arrived
            .iter()
            .filter(|it| it.header("after") == Some("4"))
            .count(),
        1
    );
    assert!(!response.is_complete, "the second target repeated event 4");
    assert_eq!(
        response.text.matches("data: a").count(),
        1,
        "no event is delivered twice"
    );
}

#[tokio::test]
async fn torn_stream_is_completed_by_another_target() {
    let partial_stream = stream(&["id: 4\ndata: a\n\n"]);
    let remaining = stream(&["id: 8\ndata: b\n\n", "id: 9\ndata: c\n\n"]) + END;
    let one =
        ScriptedTarget::start("one", vec![Step::RespondThenClose(partial_stream.clone())]).await;
    let relay = TestRelay::start(&[&one]).await;
    let connection = caller::send(relay.address, "/resumable/7", "").await;
    let two = ScriptedTarget::start("two", vec![Step::Respond(remaining)]).await;
    while one.arrived().is_empty() {
        tokio::task::yield_now().await;
    }
    relay.view.store(Arc::new(support::view(&[&one, &two])));
    let response = caller::read_response(connection).await;
    assert!(response.is_complete, "{response:?}");
    for event in ["data: a", "data: b", "data: c"] {
        assert_eq!(response.text.matches(event).count(), 1);
    }
}

#[tokio::test]
async fn stream_that_one_target_begins_again_is_resumed_by_a_third_without_repeats() {
    let one = ScriptedTarget::start(
        "one",
        vec![Step::RespondThenClose(stream(&["id: 4\ndata: a\n\n"]))],
    )
    .await;
    let again = stream(&["id: 1\ndata: x\n\n"]) + END;
    let again = Step::RespondInTwo(String::new(), Duration::from_millis(100), again);
    let remaining = Step::Respond(stream(&["id: 5\ndata: b\n\n"]) + END);
    let two = ScriptedTarget::start("two", vec![again]).await;
    let three = ScriptedTarget::start("three", vec![remaining]).await;
    let relay = TestRelay::start(&[&one]).await;
    let with_attempts = |targets: &[&ScriptedTarget]| {
        let mut view = support::view(targets);
        let config = view.route_table.as_ref().unwrap().config().clone();
        let routes = support::routes().into_iter();
        let routes = routes.map(|route| route.max_attempts(3)).collect();
        view.route_table = Some(Arc::new(RouteTable::new(config.routes(routes))));
        Arc::new(view)
    };
    relay.view.store(with_attempts(&[&one]));
    let connection = caller::send(relay.address, "/resumable/7", "").await;
    while one.arrived().is_empty() {
        tokio::task::yield_now().await;
    }
    relay.view.store(with_attempts(&[&one, &two]));
    while two.arrived().is_empty() {
        tokio::task::yield_now().await;
    }
    relay.view.store(with_attempts(&[&one, &two, &three]));
    let response = caller::read_response(connection).await;
    assert!(response.is_complete, "{response:?}");
    assert!(!response.text.contains("data: x"), "{response:?}");
    assert_eq!(three.arrived()[0].header("after"), Some("4"));
}

#[tokio::test]
async fn events_out_of_order_end_the_stream() {
    let mixed = stream(&["id: 4\ndata: a\n\nid: 4\ndata: again\n\n"]) + END;
    let target = ScriptedTarget::start("one", vec![Step::Respond(mixed)]).await;
    let relay = TestRelay::start(&[&target]).await;
    let response = caller::call(relay.address, "/stream/7", "").await;
    assert!(!response.is_complete);
    assert!(response.text.contains("data: a\n\n"), "{response:?}");
    assert!(!response.text.contains("again"));
}

/// Guards against two targets that work on one stream: the first went on while the second was asked to
/// resume the stream.
#[tokio::test]
async fn target_whose_events_are_out_of_order_is_cancelled_before_the_stream_is_resumed() {
    let mixed = stream(&["id: 2\ndata: b\n\n", "id: 1\ndata: a\n\n"]);
    let pause = Duration::from_secs(2);
    let goes_on = Step::RespondInTwo(mixed, pause, String::new());
    let one = ScriptedTarget::start("one", vec![goes_on]).await;
    let two = ScriptedTarget::start("two", vec![Step::NeverRespond]).await;
    let relay = TestRelay::start(&[&one]).await;
    let connection = caller::send(relay.address, "/resumable/7", "").await;
    relay.add_target(&two);
    while two.arrived().is_empty() {
        tokio::task::yield_now().await;
    }
    assert!(one.saw_caller_disconnect().await);
    drop(connection);
}

#[tokio::test]
async fn call_at_the_target_is_canceled_when_the_caller_disconnects() {
    for path in ["/stream/7", "/once/7"] {
        let target = ScriptedTarget::start("one", vec![Step::NeverRespond]).await;
        let relay = TestRelay::start(&[&target]).await;
        let connection = caller::send(relay.address, path, "").await;
        while target.arrived().is_empty() {
            tokio::task::yield_now().await;
        }
        drop(connection);
        assert!(target.saw_caller_disconnect().await, "{path}");
    }
}

#[tokio::test]
async fn stream_cut_by_the_shutdown_is_visibly_incomplete() {
    let partial_stream = stream(&["id: 1\ndata: a\n\n"]);
    let target = ScriptedTarget::start("one", vec![Step::RespondThenStall(partial_stream)]).await;
    let relay = TestRelay::start(&[&target]).await;
    let connection = caller::send(relay.address, "/resumable/7", "").await;
    while target.arrived().is_empty() {
        tokio::task::yield_now().await;
    }
    tokio::time::sleep(Duration::from_millis(100)).await;
    relay.answer_cutoff.trigger();
    let response = caller::read_response(connection).await;
    assert!(
        response.status == 502 || response.status == 200 && !response.is_complete,
        "{response:?}"
    );
}

#[tokio::test]
async fn silent_stream_is_awaited_if_no_other_target_has_time_left() {
    let partial_stream = stream(&["id: 1\ndata: a\n\n"]);
    let one = ScriptedTarget::start("one", vec![Step::RespondThenStall(partial_stream)]).await;
    let two = ScriptedTarget::start("two", vec![]).await;
    let relay = TestRelay::start(&[&one]).await;
    let connection = caller::send(relay.address, "/gapped/7", "").await;
    while one.arrived().is_empty() {
        tokio::task::yield_now().await;
    }
    let started = Instant::now();
    relay.shut_down(Duration::from_millis(2_500));
    let response = caller::read_response(connection).await;
    assert!(!response.is_complete, "{response:?}");
    assert!(started.elapsed() > Duration::from_secs(2), "{response:?}");
    assert!(two.arrived().is_empty());
}

#[tokio::test]
async fn unframed_stream_that_ends_after_an_event_is_whole() {
    let answer = unframed("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    let target = ScriptedTarget::start("one", vec![Step::RespondThenClose(answer)]).await;
    let relay = TestRelay::start(&[&target]).await;
    let response = caller::call(relay.address, "/stream/7", "").await;
    assert!(response.is_complete);
    assert!(response.text.contains("id: 2\ndata: b\n\n"));
}

#[tokio::test]
async fn unframed_stream_that_ends_inside_an_event_is_visibly_incomplete() {
    let answer = unframed("id: 1\ndata: a\n\nid: 2\nda");
    let target = ScriptedTarget::start("one", vec![Step::RespondThenClose(answer)]).await;
    let relay = TestRelay::start(&[&target]).await;
    let response = caller::call(relay.address, "/stream/7", "").await;
    assert!(!response.is_complete, "{response:?}");
    assert!(response.text.contains("data: a"));
}

#[tokio::test]
async fn unframed_stream_without_an_event_is_no_whole_answer() {
    for body in ["", "id: 1\nda"] {
        let cut = vec![Step::RespondThenClose(unframed(body))];
        let target = ScriptedTarget::start("one", cut).await;
        let relay = TestRelay::start(&[&target]).await;
        let response = caller::call(relay.address, "/stream/7", "").await;
        assert_eq!(response.status, 502, "{body:?}");
    }
}
