//! Rule DRAIN: requests reach a worker long after its entry was removed, because the machine had been cut
//! off from the store before.

use {
    crate::{
        Record, Verdict, http,
        machines::Machine,
        store::{Link, Store},
        worker::{Arrival, Worker},
    },
    std::{
        path::PathBuf,
        sync::Arc,
        thread,
        time::{Duration, Instant},
    },
};

/// `drainMs` of the small sites.
const DRAIN: Duration = Duration::from_millis(2_000);
/// `contactMs` of the small sites: a machine is in touch again so long after the end of a cut.
const CONTACT: Duration = Duration::from_millis(3_000);
/// The worker that leaves serves for `drainMs` and a little longer, then exits.
const SERVES: Duration = Duration::from_millis(2_800);
/// Longest cut of a machine from the store in the site file.
const LONGEST_CUT: Duration = Duration::from_millis(5_500);
/// Time that a booking takes.
const WORK: Duration = Duration::from_millis(60);

const CONFIG: &str = r#"{"version":1,"routes":[{"name":"booking","host":"book.example","pathPrefix":"/book/","kind":"non_idempotent","timeoutMs":2000,"targetLatencyMs":300,"priority":2,"service":"bookings","maxAttempts":1,"public":false,"sticky":false,"resumable":false}],"services":[{"name":"bookings","healthPath":"/healthz","maxConns":110,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"shop","apiKeys":["key-of-shop"],"priority":1}]}"#;

pub fn play(record: &Record, has_trouble: bool, scratch: &PathBuf) -> Verdict {
    let store = Store::start();
    store.write("op/config", CONFIG);
    let workers: Vec<Worker> = (1..=4)
        .map(|index| Worker::new(&format!("i-worker-{index}"), WORK, record))
        .collect();
    let ways: Vec<http::Server> = workers.iter().map(Worker::listen).collect();
    for (worker, way) in workers.iter().zip(&ways) {
        let entry = format!(
            r#"{{"service":"bookings","address":"{}","zone":"zone-1","version":"v1","slots":6,"state":"ready","coldLeftMs":0,"seqNo":1,"born":1764900000000}}"#,
            way.address
        );
        store.write(&format!("servers/{}", worker.id), &entry);
    }
    let link = Arc::new(Link::default());
    let over_link = store.serve_over(None, link.clone());
    let direct = store.serve(None);
    let machines = [
        Machine::start("front-1", "zone-1", over_link.address, scratch),
        Machine::start("front-2", "zone-2", direct.address, scratch),
    ];
    if !machines.iter().all(Machine::wait_ready) {
        return Verdict::NotRun("a machine is not ready".to_owned());
    }
    // Calm for longer than `contactMs` (3,000).
    let started = Instant::now();
    let mut clients = Vec::new();
    for (index, machine) in machines.iter().enumerate() {
        for client in 0..4 {
            let (front, record) = (machine.front, record.clone());
            clients.push(thread::spawn(move || {
                let mut lost = Vec::new();
                let mut number = 0;
                while started.elapsed() < Duration::from_secs(17) {
                    let id = format!("booking-{}-{client}-{number}", index + 1);
                    number += 1;
                    let body = format!("van {index}-{client}-{number}");
                    let request = format!(
                        "POST /book/van HTTP/1.1\r\nHost: book.example\r\nX-Rattanpost-Request-Id: {id}\r\nX-Rattanpost-Deadline-Ms: 4000\r\nX-Api-Key: key-of-shop\r\nContent-Length: {}\r\n\r\n{body}",
                        body.len()
                    );
                    let answer = http::call(front, &request, Duration::from_secs(4));
                    let status = answer.map_or(0, |it| it.status());
                    record.line(&format!("client gets {status} for {id}"));
                    if status != 200 {
                        lost.push((id, status));
                    }
                    thread::sleep(Duration::from_millis(20));
                }
                lost
            }));
        }
    }
    thread::sleep(Duration::from_secs(4));
    if has_trouble {
        record.line("front-1 is cut off from the store");
        link.cut();
        thread::sleep(LONGEST_CUT);
        link.heal();
        record.line("the cut has ended after 5.5 s");
    }
    let healed_at = Instant::now();
    thread::sleep(Duration::from_millis(500));
    let removed_at = store.remove("servers/i-worker-1");
    record.line("the store has removed the entry of i-worker-1, which serves 2.8 s more and exits");
    thread::sleep(SERVES.saturating_sub(removed_at.elapsed()));
    workers[0].exit();
    ways[0].close();
    record.line("i-worker-1 has exited");
    let lost: Vec<(String, u16)> = clients
        .into_iter()
        .flat_map(|it| it.join().expect("a client"))
        .collect();
    let arrivals = workers[0].arrivals.lock().expect("arrivals").clone();
    // Judged are requests of machines in touch: of front-1 from 3 s after the cut on.
    let is_in_touch =
        |it: &&Arrival| !has_trouble || it.id.starts_with("booking-2") || it.at > healed_at + CONTACT;
    let late = arrivals.iter().filter(|it| it.at > removed_at + DRAIN);
    let late = late.filter(is_in_touch);
    let late: Vec<(u128, bool)> = late
        .map(|it| ((it.at - removed_at).as_millis(), it.ended))
        .collect();
    let last = arrivals.iter().map(|it| it.at).max();
    let last = last.map_or(0, |at| at.saturating_duration_since(removed_at).as_millis());
    record.line(&format!("the last request reached i-worker-1 {last} ms after its entry was removed"));
    record.line(&format!("bookings without success: {lost:?}"));
    if late.is_empty() {
        return Verdict::Held(format!("no request later than drainMs; the last one after {last} ms"));
    }
    let cut = late.iter().filter(|(_, ended)| !ended).count();
    Verdict::Broken(format!(
        "{} requests reached i-worker-1 later than drainMs after the ack, the last after {last} ms; {cut} of their runs were lost; {} bookings without success",
        late.len(),
        lost.len()
    ))
}
