//! Calls per second through a relay; prints them and checks only that all calls are answered.

mod support;

use {
    std::time::{Duration, Instant},
    support::{
        TestRelay, caller,
        scripted_target::{ScriptedTarget, Step, success, unframed},
    },
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

/// Calls of each kind for the time of one answer.
const ANSWERS_COUNT: u32 = 2_000;

#[tokio::test]
#[ignore = "measures; run by hand with --ignored --nocapture"]
async fn time_of_framed_and_unframed_answers() {
    let body = "x".repeat(800);
    for (name, step) in [
        ("with a length", Step::Respond(success(&body))),
        (
            "without, on new connections",
            Step::RespondThenEnd(unframed(&body)),
        ),
    ] {
        let script = vec![step; ANSWERS_COUNT as usize];
        let target = ScriptedTarget::start("one", script).await;
        let relay = TestRelay::start(&[&target]).await;
        let mut stream = TcpStream::connect(relay.address).await.unwrap();
        let start = Instant::now();
        for _ in 0..ANSWERS_COUNT {
            caller::send_on(&mut stream, "/once/7", "").await;
            let response = caller::read_next_response(&mut stream).await;
            assert_eq!(response.status, 200, "{response:?}");
        }
        let micros = (start.elapsed() / ANSWERS_COUNT).as_micros();
        let asked = target.identity_requests_count();
        println!("{name}: {micros} us an answer, {asked} times asked which process it is");
    }
}
