//! Measures how many events a second one relay forwards. Prints figures and checks none:
//! `cargo test --release -p relay --test stream_rate -- --ignored --nocapture`.

mod support;

use {
    relay::{CallSource, Peer},
    std::{sync::Arc, time::Instant},
    support::{
        TestRelay, caller,
        scripted_target::{ScriptedTarget, Step, stream},
    },
    tokio::io::AsyncReadExt,
};

/// Events of one stream.
const EVENTS_COUNT: usize = 20_000;
/// Streams that are read one after the other for one figure.
const STREAMS_COUNT: usize = 10;

/// A target that answers with streams of [`EVENTS_COUNT`] events.
async fn target(name: &str) -> ScriptedTarget {
    let text = "x".repeat(80);
    let events: Vec<String> = (1..=EVENTS_COUNT)
        .map(|id| format!("id: {id}\ndata: {text}\n\n"))
        .collect();
    let events: Vec<&str> = events.iter().map(String::as_str).collect();
    let answer = Step::Respond(stream(&events) + "0\r\n\r\n");
    ScriptedTarget::start(name, vec![answer; STREAMS_COUNT]).await
}

async fn measure(name: &str, relay: &TestRelay) {
    let started = Instant::now();
    for _ in 0..STREAMS_COUNT {
        let mut connection = caller::send(relay.address, "/resumable/7", "").await;
        let mut bytes = Vec::with_capacity(4 << 20);
        while !bytes.ends_with(b"\r\n0\r\n\r\n") {
            assert!(connection.read_buf(&mut bytes).await.unwrap() > 0);
        }
    }
    let events_count = u32::try_from(EVENTS_COUNT * STREAMS_COUNT).unwrap();
    let rate = f64::from(events_count) / started.elapsed().as_secs_f64();
    println!("{name}: {rate:.0} events/s");
}

#[tokio::test]
#[ignore = "measures; run by hand"]
async fn events_a_second() {
    let one = target("one").await;
    measure("target", &TestRelay::start(&[&one]).await).await;
    let peer = target("peer").await;
    let gone = support::unreachable_target();
    let mut view = support::view(&[&gone]);
    view.peers = [Peer {
        name: "peer".to_owned(),
        seed: 1,
        address: peer.address,
    }]
    .into();
    let relay = TestRelay::start_for(&[], CallSource::Caller).await;
    relay.view.store(Arc::new(view));
    measure("other instance", &relay).await;
}
