//! The copy of an answer of a target or store, where the answer to a later control request is due.

mod support;

use {
    keyvalue::MemoryKv,
    std::{
        mem,
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
    support::{
        Instance, OutgoingCall,
        copying_server::{CopyingServer, LateCopy, Question},
        keep_current, put,
        target::Target,
        wait_until,
    },
    tokio::time::sleep,
};

/// Longer than parts are withdrawn before they are freed.
const FREE_TIME: Duration = Duration::from_secs(10);

/// What happened at a store that holds one part, of version 1.
#[derive(Clone, Debug, Default)]
struct StoreRecord {
    /// Number of requests to free that are still refused.
    refusals_count: u32,
    /// Bodies of the requests to free that were carried out.
    freed: Vec<String>,
    /// Whether the next events have a gap.
    has_gap: bool,
    /// Number of requests for the list.
    lists_count: u32,
}

/// A store and what happened there.
async fn store(refusals_count: u32) -> (CopyingServer, Arc<Mutex<StoreRecord>>) {
    let record = Arc::new(Mutex::new(StoreRecord {
        refusals_count,
        ..StoreRecord::default()
    }));
    let (shared, started) = (record.clone(), Instant::now());
    let answer = move |question: &Question| {
        let mut record = shared.lock().unwrap();
        if question.path() == "/free" {
            if record.refusals_count > 0 {
                record.refusals_count -= 1;
                return (503, String::new());
            }
            record.freed.push(question.body.trim().to_owned());
            return (200, String::new());
        }
        let clock_ms = started.elapsed().as_millis();
        if question.path() == "/list" {
            record.lists_count += 1;
            return (200, format!("1 {clock_ms}\n= 1 session 5000\n"));
        }
        let gap = if mem::take(&mut record.has_gap) {
            " gap"
        } else {
            ""
        };
        let changes = ["+ 1 session 5000", "- 1 session 0"];
        let changes = &changes[..=record.freed.len().min(1)];
        let since: usize = question.header("since").unwrap().parse().unwrap();
        let lines = changes.iter().skip(since).map(|it| format!("{it}\n"));
        let lines: String = lines.collect();
        (200, format!("{} {clock_ms}{gap}\n{lines}", changes.len()))
    };
    (CopyingServer::start(answer).await, record)
}

/// A prompt whose first part the store holds.
fn prompt() -> OutgoingCall {
    OutgoingCall::prompt("session:5000,own:10").path("/once/")
}

/// An instance that knows what the store holds, with its key-value service and a target.
async fn instance_before(store: &CopyingServer) -> (Instance, MemoryKv, Target) {
    let kv = MemoryKv::new();
    let target = Target::start(Duration::ZERO).await;
    let configuration = format!("1 {}", store.address);
    put(&kv, "operators/configuration", &configuration).await;
    put(&kv, "operators/version/m", "1").await;
    put(&kv, "targets/t1", &format!("{} 1", target.address)).await;
    keep_current(&kv);
    let instance = Instance::start("one", kv.clone());
    wait_until("a part that is fetched", async || {
        instance.send(&prompt()).await == Some(200) && target.last_fetch() == Some(store.address)
    })
    .await;
    (instance, kv, target)
}

/// The same, once new versions have made obsolete what the store holds.
async fn instance_with_obsolete_parts(store: &CopyingServer) -> Instance {
    let (instance, kv, _target) = instance_before(store).await;
    put(&kv, "operators/version/m", "2").await;
    sleep(Duration::from_secs(4)).await;
    put(&kv, "operators/version/m", "3").await;
    instance
}

/// Guards against parts that stay in a store for good.
#[tokio::test]
async fn refused_free_is_repeated_though_the_copy_of_an_answer_came_before_the_refusal() {
    let (store, record) = store(1).await;
    let instance = instance_with_obsolete_parts(&store).await;
    store.copy(LateCopy {
        of: "/events",
        before: "/free",
    });
    wait_until("a refused free", async || {
        record.lock().unwrap().refusals_count == 0
    })
    .await;
    sleep(FREE_TIME).await;
    assert_eq!(record.lock().unwrap().freed, ["1 session"]);
    drop(instance);
}

/// Guards against parts that are reported as held once they are freed.
#[tokio::test]
async fn copy_of_earlier_events_does_not_bring_back_a_freed_part() {
    let (store, record) = store(0).await;
    let instance = instance_with_obsolete_parts(&store).await;
    wait_until("a freed part", async || {
        !record.lock().unwrap().freed.is_empty()
    })
    .await;
    // The removal is read.
    sleep(Duration::from_secs(1)).await;
    store.copy(LateCopy {
        of: "/events",
        before: "/events",
    });
    wait_until("a copy", async || store.has_copied()).await;
    sleep(FREE_TIME).await;
    let freed = record.lock().unwrap().freed.clone();
    assert_eq!(freed, ["1 session"], "it is freed once");
    drop(instance);
}

/// Guards against parts that are forgotten, and never freed, since events read as an empty list.
#[tokio::test]
async fn copy_of_events_is_not_read_as_the_list_of_a_store() {
    let (store, record) = store(0).await;
    let (instance, _kv, target) = instance_before(&store).await;
    store.copy(LateCopy {
        of: "/events",
        before: "/list",
    });
    record.lock().unwrap().has_gap = true;
    wait_until("a list", async || record.lock().unwrap().lists_count > 0).await;
    sleep(Duration::from_secs(1)).await;
    assert_eq!(instance.send(&prompt()).await, Some(200));
    assert_eq!(target.last_fetch(), Some(store.address));
}

/// What a target has and was ordered.
#[derive(Clone, Debug)]
struct OrderRecord {
    version: u64,
    accepted_count: u64,
    refused_count: u64,
}

/// A target that loads at once, and what happened there.
async fn target() -> (CopyingServer, Arc<Mutex<OrderRecord>>) {
    let record = Arc::new(Mutex::new(OrderRecord {
        version: 1,
        accepted_count: 0,
        refused_count: 0,
    }));
    let shared = record.clone();
    let answer = move |question: &Question| {
        let mut record = shared.lock().unwrap();
        if question.path() == "/report" {
            let report = format!("{} false {}", record.version, record.accepted_count);
            return (200, report);
        }
        let Some(order) = question.path().strip_prefix("/order/") else {
            return (500, String::new());
        };
        let fields: Vec<&str> = order.split('/').collect();
        if fields[3].parse() != Ok(record.accepted_count) {
            record.refused_count += 1;
            return (409, String::new());
        }
        record.accepted_count += 1;
        record.version = fields[2].parse().unwrap();
        (202, String::new())
    };
    (CopyingServer::start(answer).await, record)
}

/// Guards against orders that a target refuses because of an earlier report.
#[tokio::test]
async fn order_is_based_on_the_present_report_of_its_target() {
    let kv = MemoryKv::new();
    put(&kv, "operators/configuration", "1").await;
    let (target, record) = target().await;
    put(&kv, "targets/t1", &format!("{} 1", target.address)).await;
    let instance = Instance::start("one", kv.clone());
    wait_until("ready", async || instance.is_ready().await).await;
    sleep(Duration::from_secs(1)).await;
    put(&kv, "operators/version/m", "2").await;
    wait_until("version 2", async || record.lock().unwrap().version == 2).await;
    sleep(Duration::from_secs(1)).await;
    target.copy(LateCopy {
        of: "/report",
        before: "/report",
    });
    put(&kv, "operators/version/m", "3").await;
    wait_until("version 3", async || record.lock().unwrap().version == 3).await;
    assert_eq!(record.lock().unwrap().refused_count, 0, "refused orders");
    drop(instance);
}
