//! Rule WALL: a tenant that the config makes isolated goes on sharing what it made before.

use {
    crate::{Record, Verdict, http, machines::Machine, store::Store, worker::Worker},
    std::{net::SocketAddr, path::PathBuf, thread, time::Duration},
};

fn config(version: u64, isolated: bool) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"notes","host":"note.example","pathPrefix":"/note/","kind":"stream","timeoutMs":15000,"targetLatencyMs":800,"priority":0,"service":"llm","maxAttempts":1,"public":false,"sticky":true,"resumable":false,"gapTargetMs":300}}],"services":[{{"name":"llm","healthPath":"/healthz","maxConns":300,"protocol":"h1","tls":false,"engine":{{"slots":48,"kvCapacity":49197,"kvTokenBytes":327680,"linkMbps":370000.0,"managed":true,"maxInflight":12,"models":[{{"name":"m0"}}]}}}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"clinic","apiKeys":["key-of-clinic"],"priority":1,"isolated":{isolated}}},{{"name":"shop","apiKeys":["key-of-shop"],"priority":1,"isolated":false}}]}}"#
    )
}

fn note(record: &Record, front: SocketAddr, id: &str, tenant: &str) -> u16 {
    let request = format!(
        "POST /note/a HTTP/1.1\r\nHost: note.example\r\nX-Rattanpost-Request-Id: {id}\r\nX-Rattanpost-Deadline-Ms: 6000\r\nX-Rattanpost-Model-Id: m0\r\nX-Rattanpost-Token-Counts: 1460,3\r\nX-Rattanpost-Prefix-Hash: 5c1e07a2:800,91bd3f06:410,{id}:250\r\nX-Api-Key: key-of-{tenant}\r\nContent-Length: 4\r\n\r\nnote"
    );
    let answer = http::call(front, &request, Duration::from_secs(6));
    let status = answer.map_or(0, |it| it.status());
    record.line(&format!("client of tenant {tenant} gets {status} for {id}"));
    status
}

pub fn play(record: &Record, has_trouble: bool, scratch: &PathBuf) -> Verdict {
    let store = Store::start();
    store.write("op/config", &config(1, false));
    store.write("op/version/m0", r#"{"model":"m0","version":1}"#);
    let worker = Worker::new("i-worker-1", Duration::from_millis(50), record);
    let way = worker.listen();
    let entry = format!(
        r#"{{"service":"llm","address":"{}","zone":"zone-1","version":"v1","slots":48,"state":"ready","coldLeftMs":0,"stage":"colocated","models":[{{"name":"m0","version":1,"adapters":[]}}],"seqNo":1,"born":1764900000000}}"#,
        way.address
    );
    store.write("servers/i-worker-1", &entry);
    let service = store.serve(None);
    let machine = Machine::start("front-1", "zone-1", service.address, scratch);
    if !machine.wait_ready() {
        return Verdict::NotRun("the machine is not ready".to_owned());
    }
    thread::sleep(Duration::from_secs(2));
    if note(record, machine.front, "a1", "clinic") != 200 {
        return Verdict::NotRun("the first request was not served".to_owned());
    }
    if has_trouble {
        store.write("op/config", &config(2, true));
        record.line("the store has acknowledged config 2, which makes tenant clinic isolated");
    }
    // Longer than configApplyMs (2,000) and contactMs (3,000).
    thread::sleep(Duration::from_secs(5));
    note(record, machine.front, "a2", "clinic");
    note(record, machine.front, "b1", "shop");
    let arrivals = worker.arrivals.lock().expect("arrivals").clone();
    let Some(last) = arrivals.iter().find(|it| it.id == "b1") else {
        return Verdict::NotRun("the last request did not reach the worker".to_owned());
    };
    let foreign = last.kept.iter().filter(|(_, maker)| *maker != last.tenant);
    let foreign: Vec<_> = foreign.collect();
    if !has_trouble || foreign.is_empty() {
        return Verdict::Held(format!("request b1 of tenant shop used {foreign:?} of others, none isolated"));
    }
    Verdict::Broken(format!("request b1 of tenant shop used, under salt {:?}, parts that a request of the isolated tenant made: {foreign:?}", last.salt))
}
