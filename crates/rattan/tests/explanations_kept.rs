//! The explanation of a decision outlives the instance that decided.

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
        world::{OPERATOR_KEY, World, WorldSettings},
    },
    tokio::time::sleep,
};

/// Longest wait for something that has to happen soon.
const SOON: Duration = Duration::from_secs(20);
/// Time within which a record is copied to another instance, several times over.
const COPY_TIME: Duration = Duration::from_secs(4);
/// Time between two looks.
const POLL: Duration = Duration::from_millis(50);

async fn get(entry: SocketAddr, key: &str, path: &str) -> Option<(StatusCode, Value)> {
    let answer = Caller::new(key)
        .call(entry, Method::GET, path, &[], Bytes::new())
        .await;
    let (status, body) = answer.ok()?;
    Some((status, serde_json::from_slice(&body).unwrap_or_default()))
}

/// Waits until the record at `entry` tells that the request was answered.
async fn finished(entry: SocketAddr, request: &str) -> Value {
    let path = format!("/v1/operator/decisions/{request}");
    let deadline = Instant::now() + SOON;
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
        sleep(POLL).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_record_outlives_the_instance_that_decided() {
    let mut settings = WorldSettings::new(env!("CARGO_BIN_EXE_rattand"));
    settings.entries_count = 4;
    let mut world = World::start(settings).await.expect("a world");
    let deciding = world.entries[0].address;
    let visit = Caller::new(CALLER_KEY)
        .complete(deciding, MODEL, "which edge profile", 4)
        .await;
    assert_eq!(visit.end, End::Whole, "{visit:?}");
    // Every instance finds the record while the one that decided is there.
    for entry in &world.entries {
        finished(entry.address, &visit.request).await;
    }
    sleep(COPY_TIME).await;
    let decided = world.entries.remove(0);
    decided.signal("KILL");
    drop(decided);
    for entry in &world.entries {
        let found = finished(entry.address, &visit.request).await;
        let explanation = found["explanation"].as_str().unwrap_or_default();
        assert!(explanation.contains("Routed to engine-"), "{explanation}");
        let path = format!("/v1/decisions/{}", visit.request);
        let own = get(entry.address, CALLER_KEY, &path).await;
        assert_eq!(own.map(|(status, _)| status), Some(StatusCode::OK));
    }
}
