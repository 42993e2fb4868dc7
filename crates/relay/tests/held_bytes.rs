//! What a relay holds of calls and answers stays within one budget, whoever reads slowly.

mod support;

use {
    futures::future::join_all,
    relay::View,
    routes::RouteTable,
    std::{
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    support::{
        TestRelay, caller,
        scripted_target::{ScriptedTarget, Step, answer, stream, success},
    },
    tokio::{
        io::AsyncReadExt,
        net::{TcpListener, TcpSocket, TcpStream},
        time::{sleep, timeout},
    },
};

const MAX_HELD_BYTES: usize = 600 << 10;
const NEVER: Duration = Duration::from_secs(8);
/// Time limit of streams that last until all buffers of their way are full, also on a busy machine.
const FILL_TIME_LIMIT: Duration = Duration::from_mins(1);
/// Longest batch of events that is read at once.
const BATCH_BYTES: usize = 64 << 10;
const SLOW_READERS_COUNT: usize = 40;

fn held_bytes(relay: &TestRelay) -> usize {
    relay.held_bytes_count.load(Ordering::Relaxed)
}

/// Waits until nothing is held.
async fn wait_until_released(relay: &TestRelay) {
    let waiting = async {
        while held_bytes(relay) > 0 {
            sleep(Duration::from_millis(5)).await;
        }
    };
    let waited = timeout(NEVER, waiting).await;
    assert!(waited.is_ok(), "{} bytes are held", held_bytes(relay));
}

/// A stream that is longer than all buffers of its way.
fn long_stream() -> String {
    let event = format!("data: {}\n\n", "x".repeat(8 << 10));
    stream(&vec![event.as_str(); 400]) + "0\r\n\r\n"
}

/// Guards against bytes that stay counted after their calls, until nothing fits any more.
#[tokio::test]
async fn nothing_is_held_after_calls_of_all_kinds() {
    let script = vec![
        Step::Respond(success(&"x".repeat(100 << 10))),
        Step::Respond(answer("500 Internal Server Error", "stamp: s\r\n", "no")),
        Step::RespondThenEnd(stream(&["data: a\n\n"])),
        Step::Respond(long_stream()),
    ];
    let target = ScriptedTarget::start("one", script).await;
    let relay = TestRelay::start_holding(&[&target], MAX_HELD_BYTES).await;
    for path in ["/once/7", "/once/7", "/stream/7", "/stream/7"] {
        let response = caller::call(relay.address, path, "").await;
        assert!(response.text.starts_with("HTTP/1.1 "), "{path}");
        wait_until_released(&relay).await;
    }
}

/// Guards against bytes that stay counted after their callers have left.
#[tokio::test]
async fn nothing_is_held_after_callers_have_left() {
    let script = vec![Step::Respond(long_stream()); 3];
    let target = ScriptedTarget::start("one", script).await;
    let relay = TestRelay::start_holding(&[&target], MAX_HELD_BYTES).await;
    for _ in 0..3 {
        let mut connection = caller::send(relay.address, "/stream/7", "").await;
        connection.read_exact(&mut [0; 4_096]).await.unwrap();
        drop(connection);
        wait_until_released(&relay).await;
    }
}

/// A view of `target` whose calls may last as long as it takes to fill all buffers.
fn patient_view(target: &ScriptedTarget) -> View {
    let view = support::view(&[target]);
    let mut config = view.route_table.as_ref().unwrap().config().clone();
    for route in &mut config.routes {
        route.time_limit = FILL_TIME_LIMIT;
    }
    View {
        route_table: Some(Arc::new(RouteTable::new(config))),
        ..view
    }
}

/// Sends a call whose caller takes few bytes ahead of reading them.
async fn send_slow(relay: &TestRelay) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(4 << 10).unwrap();
    let mut stream = socket.connect(relay.address).await.unwrap();
    caller::send_on(&mut stream, "/stream/7", "").await;
    stream
}

/// Guards against memory that grows with the time for which callers do not read.
#[tokio::test]
async fn slow_streams_hold_a_batch_each_beyond_half_of_the_budget() {
    let script = vec![Step::Respond(long_stream()); SLOW_READERS_COUNT];
    let target = ScriptedTarget::start("one", script).await;
    let relay = TestRelay::start_holding(&[&target], MAX_HELD_BYTES).await;
    relay.view.store(Arc::new(patient_view(&target)));
    let sent = (0..SLOW_READERS_COUNT).map(|_| send_slow(&relay));
    let connections: Vec<TcpStream> = join_all(sent).await;
    // Their requests are held too.
    let max_bytes = MAX_HELD_BYTES / 2 + SLOW_READERS_COUNT * (BATCH_BYTES + 4);
    let filling = async {
        while held_bytes(&relay) < MAX_HELD_BYTES / 2 {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(FILL_TIME_LIMIT, filling).await.unwrap();
    for _ in 0..200 {
        sleep(Duration::from_millis(10)).await;
        assert!(held_bytes(&relay) <= max_bytes, "{}", held_bytes(&relay));
    }
    // Another one is not held up.
    let short = stream(&["data: a\n\n"; 20]) + "0\r\n\r\n";
    let other = ScriptedTarget::start("two", vec![Step::Respond(short)]).await;
    relay.view.store(Arc::new(support::view(&[&other])));
    let response = timeout(NEVER, caller::call(relay.address, "/stream/7", "")).await;
    assert!(response.unwrap().is_complete);
    drop(connections);
    wait_until_released(&relay).await;
}

/// Guards against an answer being lost because others are held just then.
#[tokio::test]
async fn answers_wait_for_memory() {
    let body = "x".repeat(MAX_HELD_BYTES / 4);
    let script = vec![Step::Respond(success(&body)); 8];
    let target = ScriptedTarget::start("one", script).await;
    let relay = TestRelay::start_holding(&[&target], MAX_HELD_BYTES).await;
    let calls = (0..8).map(|_| caller::call(relay.address, "/once/7", ""));
    for response in timeout(NEVER, join_all(calls)).await.unwrap() {
        assert_eq!(response.status, 200, "{}", response.text.len());
        assert!(response.is_complete);
    }
    wait_until_released(&relay).await;
}

/// Guards against one answer taking the memory of all others, and against a call that waits for it.
#[tokio::test]
async fn answer_that_exceeds_a_third_of_the_budget_is_an_unknown_outcome_at_once() {
    let body = "x".repeat(MAX_HELD_BYTES / 3 + 1);
    let target = ScriptedTarget::start("one", vec![Step::Respond(success(&body))]).await;
    let relay = TestRelay::start_holding(&[&target], MAX_HELD_BYTES).await;
    let response = timeout(NEVER, caller::call(relay.address, "/once/7", "")).await;
    assert_eq!(response.unwrap().status, 502);
    wait_until_released(&relay).await;
}

/// Guards against a target that reads no uploads using up the memory that answers need.
#[tokio::test]
async fn uploads_that_are_not_read_leave_memory_for_answers() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let silent = ScriptedTarget::at("silent", listener.local_addr().unwrap());
    let relay = TestRelay::start_holding(&[&silent], MAX_HELD_BYTES).await;
    let head = format!("padding: {}\r\n", "x".repeat(1_000));
    let sent = (0..20).map(|_| caller::send(relay.address, "/once/7", &head));
    let _connections = join_all(sent).await;
    sleep(Duration::from_millis(100)).await;
    assert!(held_bytes(&relay) <= MAX_HELD_BYTES / 3 * 2);
    let target = ScriptedTarget::start("two", vec![]).await;
    relay
        .view
        .store(std::sync::Arc::new(support::view(&[&target])));
    let response = caller::call(relay.address, "/once/7", "").await;
    assert_eq!(response.status, 200, "{response:?}");
}
