//! What an instance reports of the calls that it has in flight at a target.

mod support;

use {
    std::time::Duration,
    support::{
        TestRelay, caller,
        scripted_target::{ScriptedTarget, Step, stream, success},
    },
    tokio::task::yield_now,
};

/// Time for which the target holds the call.
const WORK: Duration = Duration::from_millis(500);

/// Guards against tokens that stay counted after their call has ended.
#[tokio::test]
async fn tokens_of_a_call_count_at_its_target_until_it_has_ended() {
    let held = Step::RespondInTwo(String::new(), WORK, success("done"));
    let target = ScriptedTarget::start("one", vec![held]).await;
    let relay = TestRelay::start(&[&target]).await;
    let stats = relay.view.load().pools["pool"][0].call_stats.clone();
    let connection = caller::send(relay.address, "/once/", "parts: session:900,own:100\r\n").await;
    while target.arrived().is_empty() {
        yield_now().await;
    }
    assert_eq!(stats.in_flight_count(), 1);
    assert_eq!(stats.in_flight_tokens_count(), 1_000);
    assert_eq!(stats.unread_tokens_count(), 1_000, "no place holds a part");
    assert_eq!(caller::read_response(connection).await.status, 200);
    while stats.in_flight_count() > 0 {
        yield_now().await;
    }
    assert_eq!(stats.in_flight_tokens_count(), 0);
    assert_eq!(stats.unread_tokens_count(), 0);
}

/// Guards against a stream that counts as unread prompt for as long as it runs, which would keep calls
/// away from targets that only generate.
#[tokio::test]
async fn prompt_of_a_stream_counts_as_read_from_its_first_event_on() {
    let begun = stream(&["id: 1\ndata: a\n\n"]);
    let rest = "F\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n".to_owned();
    let target = ScriptedTarget::start("one", vec![Step::RespondInTwo(begun, WORK, rest)]).await;
    let relay = TestRelay::start(&[&target]).await;
    let stats = relay.view.load().pools["pool"][0].call_stats.clone();
    let connection =
        caller::send(relay.address, "/stream/7", "parts: session:900,own:100\r\n").await;
    while target.arrived().is_empty() || stats.unread_tokens_count() > 0 {
        yield_now().await;
    }
    assert_eq!(
        stats.in_flight_tokens_count(),
        1_000,
        "the stream still runs"
    );
    drop(connection);
    while stats.in_flight_count() > 0 {
        yield_now().await;
    }
    assert_eq!(stats.unread_tokens_count(), 0);
}
