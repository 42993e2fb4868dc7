//! Guards against losing the explanation of a decision together with the instance that made it.

mod support;

use {
    bytes::Bytes,
    hyper::{Method, StatusCode},
    serde_json::Value,
    standin::{Caller, End},
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    support::{
        objects::{CALLER_KEY, MODEL},
        test_system::{OPERATOR_KEY, TestSystem, TestSystemSettings},
    },
    tokio::time::sleep,
};

/// Longest wait for a record.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// Time to wait for the replication of a record; several times what it takes.
const REPLICATION_TIME: Duration = Duration::from_secs(4);
/// Time between two polls.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

async fn get(entry: SocketAddr, key: &str, path: &str) -> Option<(StatusCode, Value)> {
    let answer = Caller::new(key)
        .call(entry, Method::GET, path, &[], Bytes::new())
        .await;
    let (status, body) = answer.ok()?;
    Some((status, serde_json::from_slice(&body).unwrap_or_default()))
}

/// Waits until the record at `entry` says that the request is finished.
async fn wait_for_record(entry: SocketAddr, request: &str) -> Value {
    let path = format!("/v1/operator/decisions/{request}");
    let deadline = Instant::now() + WAIT_TIMEOUT;
    loop {
        if let Some((StatusCode::OK, found)) = get(entry, OPERATOR_KEY, &path).await {
            let explanation = found["explanation"].as_str().unwrap_or_default();
            if explanation.contains("Finished: first token") {
                return found;
            }
        }
        assert!(
            Instant::now() < deadline,
            "no record of {request} at {entry}"
        );
        sleep(POLL_INTERVAL).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn record_outlives_the_instance_that_decided() {
    let mut settings = TestSystemSettings::new(env!("CARGO_BIN_EXE_rattand"));
    settings.entries_count = 4;
    let mut system = TestSystem::start(settings)
        .await
        .expect("the system starts");
    let deciding = system.entries[0].address;
    let visit = Caller::new(CALLER_KEY)
        .complete(deciding, MODEL, "which edge profile", 4)
        .await;
    assert_eq!(visit.end, End::Whole, "{visit:?}");
    // While the deciding instance runs, every instance finds the record.
    for entry in &system.entries {
        wait_for_record(entry.address, &visit.request).await;
    }
    sleep(REPLICATION_TIME).await;
    let decided = system.entries.remove(0);
    decided.signal("KILL");
    drop(decided);
    for entry in &system.entries {
        let found = wait_for_record(entry.address, &visit.request).await;
        let explanation = found["explanation"].as_str().unwrap_or_default();
        assert!(explanation.contains("Routed to engine-"), "{explanation}");
        let path = format!("/v1/decisions/{}", visit.request);
        let own = get(entry.address, CALLER_KEY, &path).await;
        assert_eq!(own.map(|(status, _)| status), Some(StatusCode::OK));
    }
}
