//! Calls per second through a relay; prints them and checks only that all calls are answered.

mod support;

use {
    std::time::{Duration, Instant},
    support::{TestRelay, caller, scripted_target::ScriptedTarget},
    tokio::{net::TcpStream, task::JoinSet},
};

/// Number of callers, each with one connection.
const CALLERS_COUNT: u64 = 16;
/// Time for which the callers send calls.
const DURATION: Duration = Duration::from_secs(3);

/// Sends one call after another for [`DURATION`]; returns their number.
async fn send_calls(relay: std::net::SocketAddr) -> u64 {
    let mut stream = TcpStream::connect(relay).await.unwrap();
    let start = Instant::now();
    let mut count = 0;
    while start.elapsed() < DURATION {
        caller::send_on(&mut stream, "/once/7", "").await;
        let response = caller::read_next_response(&mut stream).await;
        assert_eq!(response.status, 200, "{response:?}");
        count += 1;
    }
    count
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
#[ignore = "measures; run by hand with --ignored --nocapture"]
async fn calls_per_second() {
    let target = ScriptedTarget::start("one", vec![]).await;
    let relay = TestRelay::start(&[&target]).await;
    let mut callers = JoinSet::new();
    for _ in 0..CALLERS_COUNT {
        callers.spawn(send_calls(relay.address));
    }
    let count: u64 = callers.join_all().await.into_iter().sum();
    println!("{} calls/s", count / DURATION.as_secs());
}
