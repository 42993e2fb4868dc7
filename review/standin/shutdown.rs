//! Rule LOST: a machine that stops takes a stream shortly before it refuses connections, and breaks it
//! off when its grace period ends.

use {
    crate::{
        Record, Verdict, http,
        json,
        machines::Machine,
        store::Store,
        worker::Worker,
    },
    std::{
        io::{Read, Write},
        net::{SocketAddr, TcpStream},
        path::PathBuf,
        thread,
        time::{Duration, Instant},
    },
};

/// Number of streams before the stop, and the events of each; one event each 50 ms.
const USUAL_COUNT: usize = 40;
const USUAL_EVENTS: usize = 12;
/// Events of the streams that are sent last.
const LONG_EVENTS: usize = 120;
/// After the SIGTERM, streams that were sent within this time may be broken off.
const EXCUSED: Duration = Duration::from_secs(3);

const CONFIG: &str = r#"{"version":1,"routes":[{"name":"notes","host":"note.example","pathPrefix":"/note/","kind":"stream","timeoutMs":15000,"targetLatencyMs":800,"priority":0,"service":"llm","maxAttempts":1,"public":false,"sticky":true,"resumable":false,"gapTargetMs":300}],"services":[{"name":"llm","healthPath":"/healthz","maxConns":300,"protocol":"h1","tls":false,"engine":{"slots":48,"kvCapacity":49197,"kvTokenBytes":327680,"linkMbps":370000.0,"managed":true,"maxInflight":12,"models":[{"name":"m0"}]}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"shop","apiKeys":["key-of-shop"],"priority":1}]}"#;

/// How a stream ended at the client.
struct Outcome {
    id: String,
    sent_at: Instant,
    status: u16,
    events: usize,
    is_complete: bool,
}

/// Sends a request for a stream of `events` events and reads it to its end.
fn stream(record: &Record, front: SocketAddr, id: &str, events: usize) -> Outcome {
    let request = format!(
        "POST /note/a HTTP/1.1\r\nHost: note.example\r\nX-Rattanpost-Request-Id: {id}\r\nX-Rattanpost-Deadline-Ms: 15000\r\nX-Rattanpost-Model-Id: m0\r\nX-Rattanpost-Token-Counts: 827,{events}\r\nX-Rattanpost-Prefix-Hash: 5c1e07a2:650,{id}:177\r\nX-Api-Key: key-of-shop\r\nContent-Length: 4\r\n\r\nnote"
    );
    let sent_at = Instant::now();
    let mut outcome = Outcome {
        id: id.to_owned(),
        sent_at,
        status: 0,
        events: 0,
        is_complete: false,
    };
    let read = || -> std::io::Result<String> {
        let mut stream = TcpStream::connect_timeout(&front, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(Duration::from_secs(15)))?;
        stream.write_all(request.as_bytes())?;
        let mut text = Vec::new();
        let mut buffer = [0; 4096];
        while let Ok(count) = stream.read(&mut buffer) {
            text.extend_from_slice(&buffer[..count]);
            if count == 0 || text.ends_with(b"\r\n0\r\n\r\n") || is_whole(&text) {
                break;
            }
        }
        Ok(String::from_utf8_lossy(&text).into_owned())
    };
    if let Ok(text) = read() {
        let code = text.split(' ').nth(1).and_then(|code| code.parse().ok());
        outcome.status = code.unwrap_or(0);
        outcome.events = text.matches("data: ").count();
        outcome.is_complete = text.ends_with("\r\n0\r\n\r\n") || is_whole(text.as_bytes());
    }
    record.line(&format!(
        "client got {} for {id} after {:.3} s: {} events, {}",
        outcome.status,
        sent_at.elapsed().as_secs_f64(),
        outcome.events,
        if outcome.is_complete { "complete" } else { "broken off" }
    ));
    outcome
}

/// Whether an answer with a length is there as a whole.
fn is_whole(text: &[u8]) -> bool {
    let text = String::from_utf8_lossy(text);
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let head = head.to_ascii_lowercase();
    let length = head.lines().find_map(|line| line.strip_prefix("content-length:"));
    length.and_then(|it| it.trim().parse::<usize>().ok()) == Some(body.len())
}

/// Asks a machine where to connect: the addresses, and how long they may be kept.
fn resolve(directory: SocketAddr) -> Option<(Vec<String>, Duration)> {
    let request = "GET /resolve?name=note.example&region=region-1&zone=zone-1 HTTP/1.1\r\nHost: directory\r\nConnection: close\r\n\r\n";
    let answer = http::call(directory, request, Duration::from_secs(1)).ok()?;
    let body = json::parse(&answer.text());
    let addresses = body.get("addresses").list().iter();
    let addresses = addresses.map(|it| it.text().to_owned()).collect();
    Some((addresses, Duration::from_secs(body.get("ttlS").number())))
}

pub fn play(record: &Record, has_trouble: bool, scratch: &PathBuf) -> Verdict {
    let store = Store::start();
    store.write("op/config", CONFIG);
    store.write("op/version/m0", r#"{"model":"m0","version":1}"#);
    let worker = Worker::new("i-worker-1", Duration::from_millis(50), record);
    let way = worker.listen();
    let entry = format!(
        r#"{{"service":"llm","address":"{}","zone":"zone-1","version":"v1","slots":48,"state":"ready","coldLeftMs":0,"stage":"colocated","models":[{{"name":"m0","version":1,"adapters":[]}}],"seqNo":1,"born":1764900000000}}"#,
        way.address
    );
    store.write("servers/i-worker-1", &entry);
    let service = store.serve(None);
    let first = Machine::start("front-1", "zone-1", service.address, scratch);
    let second = Machine::start("front-2", "zone-2", service.address, scratch);
    if !first.wait_ready() || !second.wait_ready() {
        return Verdict::NotRun("a machine is not ready".to_owned());
    }
    thread::sleep(Duration::from_secs(3));
    let front = first.front;
    let usual: Vec<_> = (0..USUAL_COUNT)
        .map(|index| {
            let record = record.clone();
            thread::sleep(Duration::from_millis(50));
            thread::spawn(move || stream(&record, front, &format!("a{index}"), USUAL_EVENTS))
        })
        .collect();
    for it in usual {
        let _ = it.join();
    }
    if has_trouble {
        record.line("SIGTERM to front-1 (planned restart, grace 8 s)");
        first.terminate();
    }
    let stopped_at = Instant::now();
    // A client asks front-2 as long as that names front-1. It may keep the last such answer for three
    // times its ttlS.
    let own = front.to_string();
    let mut last = None;
    while stopped_at.elapsed() < Duration::from_millis(500) {
        let asked_at = Instant::now();
        match resolve(second.directory) {
            Some((addresses, ttl)) if addresses.contains(&own) => last = Some((asked_at, ttl)),
            _ => break,
        }
        thread::sleep(Duration::from_millis(1));
    }
    let Some((asked_at, ttl)) = last else {
        return Verdict::NotRun("front-2 did not name front-1".to_owned());
    };
    record.line(&format!(
        "front-2 last named front-1 {} ms after the SIGTERM, ttlS {}",
        asked_at.saturating_duration_since(stopped_at).as_millis(),
        ttl.as_secs()
    ));
    // The clients that keep an answer three times as long send their last requests to front-1.
    let until = asked_at + ttl * 3;
    let last_ones: Vec<_> = (0..6)
        .map(|index| {
            let record = record.clone();
            let at = until - Duration::from_millis(1 + index);
            thread::spawn(move || {
                thread::sleep(at.saturating_duration_since(Instant::now()));
                stream(&record, front, &format!("b{index}"), LONG_EVENTS)
            })
        })
        .collect();
    let outcomes: Vec<Outcome> = last_ones
        .into_iter()
        .map(|it| it.join().expect("a client"))
        .collect();
    let arrivals = worker.arrivals.lock().expect("arrivals").clone();
    let mut lost = Vec::new();
    for outcome in &outcomes {
        let sent = outcome.sent_at.saturating_duration_since(stopped_at);
        let was_passed_on = arrivals.iter().any(|it| it.id == outcome.id);
        let is_counted = has_trouble && sent > EXCUSED && was_passed_on && !outcome.is_complete;
        record.line(&format!(
            "{}: sent {} ms after the SIGTERM, {}, {}",
            outcome.id,
            sent.as_millis(),
            if was_passed_on { "passed on to the worker" } else { "not passed on" },
            if outcome.is_complete { "answered completely" } else { "ended without a complete answer" }
        ));
        if is_counted {
            lost.push(&outcome.id);
        }
    }
    if lost.is_empty() {
        return Verdict::Held(format!("{} last streams, none lost", outcomes.len()));
    }
    Verdict::Broken(format!("sent later than 3 s after the SIGTERM, passed on to a sound worker, and broken off: {lost:?}"))
}
