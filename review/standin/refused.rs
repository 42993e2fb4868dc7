//! Rule REFUSED: a booking that another machine passes on for this one is answered 503 while it runs.

use {
    crate::{
        Record, Verdict,
        http::{self, Message},
        machines::Machine,
        store::Store,
        worker::Worker,
    },
    std::{
        io,
        net::SocketAddr,
        path::PathBuf,
        thread,
        time::{Duration, Instant},
    },
};

/// Time that a booking takes; its route allows a second more, and its client waits longer still.
const WORK: Duration = Duration::from_millis(5_000);
const CLIENT_WAIT: Duration = Duration::from_millis(15_000);

const CONFIG: &str = r#"{"version":1,"routes":[{"name":"booking","host":"book.example","pathPrefix":"/book/","kind":"non_idempotent","timeoutMs":6000,"targetLatencyMs":5500,"priority":2,"service":"bookings","maxAttempts":1,"public":false,"sticky":false,"resumable":false},{"name":"lookup","host":"book.example","pathPrefix":"/look/","kind":"idempotent","timeoutMs":2000,"targetLatencyMs":300,"priority":2,"service":"bookings","maxAttempts":2,"public":false,"sticky":false,"resumable":false}],"services":[{"name":"bookings","healthPath":"/healthz","maxConns":110,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"shop","apiKeys":["key-of-shop"],"priority":1}]}"#;

fn book(record: &Record, machine: (&str, SocketAddr), id: &str, booking: &str, left: Duration) -> io::Result<Message> {
    record.line(&format!("client sends {id} ({booking}) to {}", machine.0));
    let request = format!(
        "POST /book/van HTTP/1.1\r\nHost: book.example\r\nX-Rattanpost-Request-Id: {id}\r\nX-Rattanpost-Deadline-Ms: {}\r\nX-Api-Key: key-of-shop\r\nContent-Length: {}\r\n\r\n{booking}",
        left.as_millis(),
        booking.len()
    );
    let answer = http::call(machine.1, &request, left);
    match &answer {
        Ok(answer) => record.line(&format!("client gets {} for {id}: {}", answer.status(), answer.text())),
        Err(error) => record.line(&format!("client gets no answer for {id}: {error}")),
    }
    answer
}

pub fn play(record: &Record, has_trouble: bool, scratch: &PathBuf) -> Verdict {
    let worker = Worker::new("i-worker-1", WORK, record);
    // The worker has one address. The first machine's path to it is cut on its own, so that path has
    // a listener of its own, and the store's values name it to that machine.
    let way_of_others = worker.listen();
    let way_of_first = worker.listen();
    let store = Store::start();
    store.write("op/config", CONFIG);
    let registration = format!(
        r#"{{"service":"bookings","address":"{}","zone":"zone-1","version":"v1","slots":6,"state":"ready","coldLeftMs":0,"seqNo":1,"born":1764900000000}}"#,
        way_of_others.address
    );
    store.write("servers/i-worker-1", &registration);
    let path = (way_of_others.address.to_string(), way_of_first.address.to_string());
    let store_of_first = store.serve(Some(path));
    let store_of_others = store.serve(None);
    let first = Machine::start("front-1", "zone-1", store_of_first.address, scratch);
    let second = Machine::start("front-2", "zone-2", store_of_others.address, scratch);
    let third = Machine::start("front-3", "zone-3", store_of_others.address, scratch);
    let fourth = Machine::start("front-4", "zone-1", store_of_others.address, scratch);
    if ![&first, &second, &third, &fourth].iter().all(|machine| machine.wait_ready()) {
        return Verdict::NotRun("a machine is not ready".to_owned());
    }
    let look_up = |index: u32| {
        let id = format!("lookup-{index}");
        let request = format!(
            "GET /look/van HTTP/1.1\r\nHost: book.example\r\nX-Rattanpost-Request-Id: {id}\r\nX-Rattanpost-Deadline-Ms: 2000\r\nX-Api-Key: key-of-shop\r\n\r\n"
        );
        let answer = http::call(first.front, &request, Duration::from_secs(2));
        let status = answer.map_or(0, |it| it.status());
        record.line(&format!("client gets {status} for {id} from front-1"));
        thread::sleep(Duration::from_millis(100));
    };
    // Usual traffic: status look-ups, which are answered also while the link is cut.
    (0..30).for_each(look_up);
    record.line("SIGTERM to front-1 (planned restart, grace 8 s)");
    first.terminate();
    let stopped_at = Instant::now();
    if has_trouble {
        record.line("the link between front-1 and worker i-worker-1 is cut");
        way_of_first.close();
    }
    (30..45).for_each(look_up);
    let front = first.front;
    let other = second.front;
    let bookings: Vec<_> = (0..3)
        .map(|index| {
            let record = record.clone();
            let wait = Duration::from_millis(2_800 + 200 * index);
            thread::spawn(move || {
                thread::sleep(wait.saturating_sub(stopped_at.elapsed()));
                let (id, booking) = (format!("booking-{index}-try-1"), format!("van {index}"));
                let sent_at = Instant::now();
                let answer = book(&record, ("front-1", front), &id, &booking, CLIENT_WAIT);
                let refused = answer.is_ok_and(|it| matches!(it.status(), 429 | 503 | 408 | 421));
                if refused {
                    // Clients retry after that promise, within their time limit.
                    let again = format!("booking-{index}-try-2");
                    let _ = book(&record, ("front-2", other), &again, &booking, CLIENT_WAIT.saturating_sub(sent_at.elapsed()));
                }
                (id, refused)
            })
        })
        .collect();
    let heals_at = Duration::from_millis(4_500);
    thread::sleep(heals_at.saturating_sub(stopped_at.elapsed()));
    let _healed = has_trouble.then(|| {
        record.line("the link between front-1 and worker i-worker-1 is whole again");
        worker.listen_again(way_of_first.address)
    });
    let outcomes: Vec<(String, bool)> =
        bookings.into_iter().map(|it| it.join().expect("a client")).collect();
    let arrivals = worker.arrivals.lock().expect("arrivals").clone();
    let has_run = |id: &String| arrivals.iter().any(|arrival| arrival.id == *id);
    let broken: Vec<&String> = outcomes
        .iter()
        .filter(|(id, refused)| *refused && has_run(id))
        .map(|(id, _)| id)
        .collect();
    if broken.is_empty() {
        let refused = outcomes.iter().filter(|(_, refused)| *refused).count();
        return Verdict::Held(format!("{refused} of {} first tries were refused, none of these ran", outcomes.len()));
    }
    Verdict::Broken(format!("answered 503, though the worker ran them: {broken:?}"))
}
