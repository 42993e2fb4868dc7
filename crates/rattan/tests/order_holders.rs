//! Guards against a frozen holder of an engine sending orders after its lease expired and another
//! daemon took over. The engine ignores fencing tokens and records the orders that it received.

mod support;

use {
    hyper::Method,
    keyvalue::{EtcdKv, EtcdSettings, KeyValue},
    serde_json::{Value, json},
    std::{
        collections::BTreeSet,
        io,
        time::{Duration, Instant},
    },
    support::{
        http::Connection,
        objects,
        test_system::{OPERATOR_KEY, TestSystem, TestSystemSettings},
    },
    tokio::time::sleep,
};

/// Time to live of the daemons' leases; the shortest allowed.
const LEASE_MS: u64 = 8_000;
/// How long the holder is frozen; longer than [`LEASE_MS`].
const FREEZE_TIME: Duration = Duration::from_secs(10);
/// Longest wait for orders of a new holder: the rest of the lease, then its time to live and
/// margin.
const TAKEOVER_TIMEOUT: Duration = Duration::from_secs(45);
/// Time between two changes of the requested version.
const VERSION_CHANGE_INTERVAL: Duration = Duration::from_millis(700);

/// Requests another version of the model, so that the engine needs an order.
async fn change_version(operator: &mut Connection, digest: &str) -> io::Result<()> {
    let path = "/v1/operator/model_version/notes-1";
    let current = operator.json(Method::GET, path, &Value::Null).await?;
    let mut version = objects::model_version();
    version["digest"] = json!(digest);
    let change = json!([{"put": version, "revision": current["revision"]}]);
    let path = "/v1/operator/apply";
    operator.json(Method::POST, path, &change).await.map(drop)
}

/// Whether a change may have taken effect without an answer of the key-value service.
fn is_unknown(error: &io::Error) -> bool {
    let text = error.to_string();
    text.contains("key-value service gave no answer") && text.contains("may have taken effect")
}

/// Changes the version repeatedly until `done` returns true or `timeout` has passed.
async fn change_version_until<Done>(
    system: &TestSystem,
    entry: usize,
    timeout: Duration,
    done: Done,
) -> io::Result<()>
where
    Done: Fn(&[u64]) -> bool,
{
    let mut operator = Connection::open(system.entries[entry].address, OPERATOR_KEY).await?;
    let deadline = Instant::now() + timeout;
    for digest in ["e1e1e1e1", "e2e2e2e2"].into_iter().cycle() {
        let orders = system.engines[0].role().audit().orders;
        if done(&orders) {
            return Ok(());
        }
        if Instant::now() >= deadline {
            return Err(io::Error::other(format!("orders so far: {orders:?}")));
        }
        if let Err(error) = change_version(&mut operator, digest).await {
            // The next change reads the version again, as the answer asks for.
            assert!(is_unknown(&error), "{error}");
            println!("repeated: {error}");
        }
        sleep(VERSION_CHANGE_INTERVAL).await;
    }
    Ok(())
}

/// Silences the key-value service until a change has failed for that reason.
async fn change_during_silence(system: &TestSystem) -> io::Error {
    let mut operator = Connection::open(system.entries[0].address, OPERATOR_KEY).await;
    let operator = operator.as_mut().expect("a connection");
    let set_silent = |is_silent| {
        let faults = json!({"hang": is_silent});
        system.kv.set_faults(&faults).expect("known faults");
    };
    set_silent(true);
    let changed = change_version(operator, "e3e3e3e3").await;
    set_silent(false);
    changed.expect_err("no answer of the key-value service")
}

/// Index of the entry that holds the engine.
async fn holder(system: &TestSystem) -> usize {
    let kv = EtcdKv::new(EtcdSettings {
        endpoints: vec![system.kv.address],
        timeout: Duration::from_secs(5),
    });
    let range = kv.range("/rattan/holder/engine-0").await.expect("up");
    let value: Value = serde_json::from_slice(&range.pairs[0].value).expect("a record");
    let mut entries = system.entries.iter();
    let found = entries.position(|entry| value["instance"] == entry.name.as_str());
    found.expect("a known holder")
}

fn holders_count(orders: &[u64]) -> usize {
    orders.iter().collect::<BTreeSet<_>>().len()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn frozen_holder_sends_no_orders_after_its_successor() {
    let mut settings = TestSystemSettings::new(env!("CARGO_BIN_EXE_rattand"));
    settings.entries_count = 3;
    settings.engines_count = 1;
    settings.flags = vec![("order-lease-ms", LEASE_MS.to_string())];
    let system = TestSystem::start(settings)
        .await
        .expect("the system starts");
    let error = change_during_silence(&system).await;
    assert!(is_unknown(&error), "{error}");
    let ordered = |orders: &[u64]| orders.len() >= 3;
    change_version_until(&system, 0, TAKEOVER_TIMEOUT, ordered)
        .await
        .expect("orders");
    let frozen = holder(&system).await;
    system.entries[frozen].signal("STOP");
    let awake = (frozen + 1) % system.entries.len();
    let never = |_: &[u64]| false;
    let _ = change_version_until(&system, awake, FREEZE_TIME, never).await;
    system.entries[frozen].signal("CONT");
    let taken_over = |orders: &[u64]| holders_count(orders) >= 2 && orders.len() >= 6;
    change_version_until(&system, awake, TAKEOVER_TIMEOUT, taken_over)
        .await
        .expect("orders of the next holder");
    let orders = system.engines[0].role().audit().orders;
    println!("fencing numbers of the orders: {orders:?}");
    assert!(orders.is_sorted(), "{orders:?}");
}
