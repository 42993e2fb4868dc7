//! Measures what an instance holds for callers that read slowly, by the memory of this process and the bytes that
//! targets get rid of. Prints figures and checks none:
//! `cargo test -p relay --test held_bytes_rate -- --ignored --nocapture`.

mod support;

use {
    std::{
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    support::{
        TestRelay, caller,
        scripted_target::{ScriptedTarget, id_of, stream},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        time::sleep,
    },
};

const READERS_COUNT: usize = 200;
/// Time in which all buffers fill.
const FILLING_TIME: Duration = Duration::from_secs(2);
const EVENT_BYTES: usize = 16 << 10;

/// Resident memory of this process.
fn resident_bytes() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find_map(|it| it.strip_prefix("VmRSS:"));
    let kib: usize = line
        .unwrap()
        .trim()
        .trim_end_matches(" kB")
        .parse()
        .unwrap();
    kib << 10
}

/// Sends events without end. Counts the bytes that were sent.
async fn send_events(mut stream_: TcpStream, sent_bytes: Arc<AtomicUsize>) {
    let mut head = vec![0; 4_096];
    let count = stream_.read(&mut head).await.unwrap();
    let head = String::from_utf8_lossy(&head[..count]).into_owned();
    let begin = stream(&[]).replace("{id}", &id_of(&head));
    stream_.write_all(begin.as_bytes()).await.unwrap();
    let event = format!("data: {}\n\n", "x".repeat(EVENT_BYTES));
    let chunk = format!("{:x}\r\n{event}\r\n", event.len());
    while let Ok(count) = stream_.write(chunk.as_bytes()).await {
        sent_bytes.fetch_add(count, Ordering::Relaxed);
        if count < chunk.len() {
            let rest = stream_.write_all(&chunk.as_bytes()[count..]).await;
            if rest.is_err() {
                return;
            }
        }
    }
}

#[tokio::test]
#[ignore = "measures; run by hand"]
async fn bytes_held_for_slow_readers_of_streams() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let target = ScriptedTarget::at("one", listener.local_addr().unwrap());
    let sent_bytes = Arc::<AtomicUsize>::default();
    let counted = Arc::clone(&sent_bytes);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(send_events(stream, Arc::clone(&counted)));
        }
    });
    let relay = TestRelay::start(&[&target]).await;
    let before = resident_bytes();
    let mut readers = Vec::new();
    for _ in 0..READERS_COUNT {
        readers.push(caller::send(relay.address, "/stream/7", "").await);
    }
    sleep(FILLING_TIME).await;
    let resident = resident_bytes().saturating_sub(before);
    let sent = sent_bytes.load(Ordering::Relaxed);
    println!(
        "{READERS_COUNT} readers: {} KiB resident each, {} KiB sent by the target each",
        (resident / READERS_COUNT) >> 10,
        (sent / READERS_COUNT) >> 10
    );
}
