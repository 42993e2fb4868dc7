//! Measures how many events a second one relay forwards, and the processor time that an event takes.
//! Target and caller run on other threads. Prints figures and checks none:
//! `cargo test --release -p relay --test stream_rate -- --ignored --nocapture`.

mod support;

use {
    rustix::time::{ClockId, clock_gettime},
    std::{
        io::{Read, Write},
        net::{SocketAddr, TcpStream},
        time::{Duration, Instant},
    },
    support::{
        KEY, TestRelay,
        scripted_target::{ScriptedTarget, Step, stream},
    },
    tokio::runtime::{Builder, Runtime},
};

/// Events of one stream.
const EVENTS_COUNT: usize = 20_000;
/// Streams that are read one after the other for one figure.
const STREAMS_COUNT: usize = 20;
/// Numbers of events that a target sends in one chunk.
const CHUNK_EVENTS_COUNTS: [usize; 2] = [1, 8];

/// Processor time of this thread.
fn thread_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(
        time.tv_sec.try_into().unwrap(),
        time.tv_nsec.try_into().unwrap(),
    )
}

/// Starts a target that answers with streams of [`EVENTS_COUNT`] events.
async fn start_target(
    runtime: &Runtime,
    name: &'static str,
    chunk_events_count: usize,
) -> ScriptedTarget {
    let text = "x".repeat(80);
    let events: Vec<String> = (1..=EVENTS_COUNT)
        .map(|id| format!("id: {id}\ndata: {text}\n\n"))
        .collect();
    let chunks: Vec<String> = events
        .chunks(chunk_events_count)
        .map(<[String]>::concat)
        .collect();
    let chunks: Vec<&str> = chunks.iter().map(String::as_str).collect();
    let answer = Step::Respond(stream(&chunks) + "0\r\n\r\n");
    let started = runtime.spawn(ScriptedTarget::start(name, vec![answer; STREAMS_COUNT]));
    started.await.unwrap()
}

/// Reads one stream after the other.
fn read_streams(relay: SocketAddr) {
    let mut buffer = vec![0; 1 << 18];
    for _ in 0..STREAMS_COUNT {
        let mut connection = TcpStream::connect(relay).unwrap();
        let call = format!(
            "POST /resumable/7 HTTP/1.1\r\nhost: a.example\r\nid: c1\r\nkey: {KEY}\r\n\
             content-length: 4\r\n\r\nbody"
        );
        connection.write_all(call.as_bytes()).unwrap();
        let mut bytes = Vec::with_capacity(4 << 20);
        while !bytes.ends_with(b"\r\n0\r\n\r\n") {
            let count = connection.read(&mut buffer).unwrap();
            assert!(count > 0);
            bytes.extend_from_slice(&buffer[..count]);
        }
    }
}

async fn measure(name: &str, chunk_events_count: usize, relay: &TestRelay) {
    let (started, time_before) = (Instant::now(), thread_time());
    let address = relay.address;
    let read = tokio::task::spawn_blocking(move || read_streams(address));
    read.await.unwrap();
    let used_time = thread_time().checked_sub(time_before).unwrap();
    let events_count = u32::try_from(EVENTS_COUNT * STREAMS_COUNT).unwrap();
    let rate = f64::from(events_count) / started.elapsed().as_secs_f64();
    let event_ns = used_time.as_nanos() / u128::from(events_count);
    println!("{name}, {chunk_events_count} a chunk: {rate:.0} events/s, {event_ns} ns an event");
}

#[tokio::test]
#[ignore = "measures; run by hand"]
async fn events_a_second() {
    let runtime = Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()
        .unwrap();
    for chunk_events_count in CHUNK_EVENTS_COUNTS {
        let one = start_target(&runtime, "one", chunk_events_count).await;
        let relay = TestRelay::start(&[&one]).await;
        measure("target", chunk_events_count, &relay).await;
        let peer = start_target(&runtime, "peer", chunk_events_count).await;
        let relay = TestRelay::start_before_peer(&peer).await;
        measure("other instance", chunk_events_count, &relay).await;
    }
    runtime.shutdown_background();
}
