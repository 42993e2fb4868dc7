//! Rule ROUTE: once the config has removed its last tenant, requests with any key run.

use {
    crate::{Record, Verdict, http, machines::Machine, store::Store, worker::Worker},
    std::{net::SocketAddr, path::PathBuf, thread, time::Duration},
};

fn config(version: u64, tenants: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"booking","host":"book.example","pathPrefix":"/book/","kind":"non_idempotent","timeoutMs":2000,"targetLatencyMs":300,"priority":2,"service":"bookings","maxAttempts":1,"public":false,"sticky":false,"resumable":false}}],"services":[{{"name":"bookings","healthPath":"/healthz","maxConns":110,"protocol":"h1","tls":false}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{tenants}]}}"#
    )
}

fn book(record: &Record, front: SocketAddr, id: &str, key: &str) -> u16 {
    let request = format!(
        "POST /book/van HTTP/1.1\r\nHost: book.example\r\nX-Rattanpost-Request-Id: {id}\r\nX-Rattanpost-Deadline-Ms: 4000\r\nX-Api-Key: {key}\r\nContent-Length: 3\r\n\r\nvan"
    );
    let answer = http::call(front, &request, Duration::from_secs(4));
    let status = answer.map_or(0, |it| it.status());
    record.line(&format!("client gets {status} for {id}, sent with key {key}"));
    status
}

pub fn play(record: &Record, has_trouble: bool, scratch: &PathBuf) -> Verdict {
    let store = Store::start();
    let tenant = r#"{"name":"shop","apiKeys":["key-of-shop"],"priority":1}"#;
    store.write("op/config", &config(1, tenant));
    let worker = Worker::new("i-worker-1", Duration::from_millis(60), record);
    let way = worker.listen();
    let entry = format!(
        r#"{{"service":"bookings","address":"{}","zone":"zone-1","version":"v1","slots":6,"state":"ready","coldLeftMs":0,"seqNo":1,"born":1764900000000}}"#,
        way.address
    );
    store.write("servers/i-worker-1", &entry);
    let service = store.serve(None);
    let machine = Machine::start("front-1", "zone-1", service.address, scratch);
    if !machine.wait_ready() {
        return Verdict::NotRun("the machine is not ready".to_owned());
    }
    thread::sleep(Duration::from_secs(1));
    let known = book(record, machine.front, "before-known", "key-of-shop");
    let unknown = book(record, machine.front, "before-unknown", "key-of-nobody");
    if (known, unknown) != (200, 401) {
        return Verdict::NotRun("the first config is not in force".to_owned());
    }
    if has_trouble {
        store.write("op/config", &config(2, ""));
        record.line("the store has acknowledged config 2, which removes the tenant shop, the last one");
    }
    // Longer than configApplyMs (2,000) and contactMs (3,000).
    thread::sleep(Duration::from_secs(5));
    book(record, machine.front, "after-known", "key-of-shop");
    book(record, machine.front, "after-unknown", "key-of-nobody");
    let arrivals = worker.arrivals.lock().expect("arrivals").clone();
    let ran = |id: &str| arrivals.iter().any(|it| it.id == id);
    let mut broken = Vec::new();
    if ran("after-unknown") {
        broken.push("ran a request whose key no config ever held");
    }
    if has_trouble && ran("after-known") {
        broken.push("ran a request with the key that was dropped 5 s before");
    }
    if broken.is_empty() {
        return Verdict::Held("no request ran with an unknown or dropped key".to_owned());
    }
    Verdict::Broken(format!("the worker {}", broken.join(", and ")))
}
