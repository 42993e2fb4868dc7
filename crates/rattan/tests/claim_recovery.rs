//! Guards against running a call to a plain service twice after a fault at a chosen step of its
//! claim. Checks what the callers are told and how often the call ran.

mod support;

use {
    keyvalue::{EtcdKv, EtcdSettings, KeyValue},
    serde_json::json,
    std::{net::SocketAddr, time::Duration},
    support::{
        caller::End,
        objects::{ACCOUNT, CALLER_KEY},
        service_calls::{CallResult, ServiceCall, send},
        test_system::{TestSystem, TestSystemSettings},
    },
    tokio::time::{Instant, sleep},
};

/// Longest wait until a call can be run again.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(15);

async fn start() -> TestSystem {
    let mut settings = TestSystemSettings::new(env!("CARGO_BIN_EXE_rattand"));
    settings.flags = vec![
        ("kv-timeout-ms", "1000".to_owned()),
        ("service-timeout-ms", "1500".to_owned()),
    ];
    TestSystem::start(settings)
        .await
        .expect("the system starts")
}

fn service_call() -> ServiceCall {
    ServiceCall {
        account: ACCOUNT.to_owned(),
        caller_key: CALLER_KEY.to_owned(),
        idempotency_key: "callout-17".to_owned(),
        path: "/book".to_owned(),
    }
}

/// Sends the call until it is answered.
async fn send_until_answered(address: SocketAddr) -> CallResult {
    let deadline = Instant::now() + SETTLE_TIMEOUT;
    loop {
        let result = send(address, &service_call()).await;
        if result.is_answer() {
            return result;
        }
        assert!(Instant::now() < deadline, "{result:?}");
        sleep(Duration::from_millis(200)).await;
    }
}

/// Waits until the key-value service has at least `claims_count` claims.
async fn wait_for_claims(system: &TestSystem, claims_count: usize) {
    let kv = EtcdKv::new(EtcdSettings {
        endpoints: vec![system.kv.address],
        timeout: SETTLE_TIMEOUT,
    });
    let deadline = Instant::now() + SETTLE_TIMEOUT;
    while kv.range("/rattan/claim/").await.expect("up").pairs.len() < claims_count {
        assert!(Instant::now() < deadline, "no claim");
        sleep(Duration::from_millis(10)).await;
    }
}

/// Request ids of all calls that the service ran.
fn executed_request_ids(system: &TestSystem) -> Vec<String> {
    let ledger = system.service.role().ledger();
    ledger.into_iter().map(|run| run.request_id).collect()
}

#[tokio::test]
async fn claim_with_a_lost_answer_is_resolved() {
    let system = start().await;
    let addresses = [system.entries[0].address, system.entries[1].address];
    system
        .kv
        .set_faults(&json!({"lose_answers": 1}))
        .expect("known faults");
    let first = send_until_answered(addresses[0]).await;
    let second = send_until_answered(addresses[1]).await;
    assert_eq!(first.0.text, second.0.text);
    assert_eq!(executed_request_ids(&system).len(), 1);
}

#[tokio::test]
async fn call_during_an_outage_is_not_run_and_succeeds_later() {
    let system = start().await;
    system
        .kv
        .set_faults(&json!({"down": true}))
        .expect("known faults");
    let refused = send(system.entries[0].address, &service_call()).await;
    assert_eq!((refused.0.status, refused.outcome()), (503, "not_run"));
    assert!(matches!(
        refused.0.end,
        End::Refused {
            retry_after_ms: Some(_),
            ..
        }
    ));
    assert!(executed_request_ids(&system).is_empty());
    system
        .kv
        .set_faults(&json!({"down": false}))
        .expect("known faults");
    send_until_answered(system.entries[1].address).await;
    assert_eq!(executed_request_ids(&system).len(), 1);
}

#[tokio::test]
async fn call_of_a_killed_entry_never_runs_again() {
    let mut system = start().await;
    // Another call first grants the lease, so that the answer lost below is that of a claim.
    let other = ServiceCall {
        idempotency_key: "callout-16".to_owned(),
        ..service_call()
    };
    let result = send(system.entries[1].address, &other).await;
    assert!(result.is_answer(), "{result:?}");
    system
        .service
        .set_faults(&json!({"delay_ms": 1_000}))
        .expect("known faults");
    let killed = system.entries.swap_remove(0);
    let address = killed.address;
    let first = tokio::spawn(async move { send(address, &service_call()).await });
    // The service gets the call right after its claim and answers a second later.
    wait_for_claims(&system, 2).await;
    drop(killed);
    assert_eq!(first.await.expect("no panic").0.end, End::Torn);
    system
        .kv
        .set_faults(&json!({"lose_answers": 1}))
        .expect("known faults");
    for _ in 0..4 {
        let result = send(system.entries[0].address, &service_call()).await;
        assert_eq!(result.outcome(), "unknown", "{result:?}");
        sleep(Duration::from_millis(300)).await;
    }
    assert!(executed_request_ids(&system).len() <= 2);
}

#[tokio::test]
async fn call_without_an_answer_never_runs_again() {
    let system = start().await;
    system
        .service
        .set_faults(&json!({"hang": true}))
        .expect("known faults");
    let first = send(system.entries[0].address, &service_call()).await;
    assert_eq!(first.outcome(), "unknown");
    system
        .service
        .set_faults(&json!({"hang": false}))
        .expect("known faults");
    let second = send(system.entries[1].address, &service_call()).await;
    assert_eq!(second.outcome(), "unknown");
    assert!(executed_request_ids(&system).len() <= 1);
}

/// Freezes an entry while it waits for the answer to its claim, and resumes it after `frozen`.
async fn freeze_before_send(system: &TestSystem, frozen: Duration) {
    let entry = &system.entries[0];
    system
        .kv
        .set_faults(&json!({"delay_ms": 400}))
        .expect("known faults");
    let address = entry.address;
    // The lease for the claim is granted first, so the entry is frozen during the grant or the
    // claim.
    let first = tokio::spawn(async move { send(address, &service_call()).await });
    sleep(Duration::from_millis(650)).await;
    entry.signal("STOP");
    system
        .kv
        .set_faults(&json!({"delay_ms": 0}))
        .expect("known faults");
    sleep(frozen).await;
    entry.signal("CONT");
    let _ = first.await;
}

#[tokio::test]
async fn entry_frozen_past_its_deadline_does_not_send() {
    let system = start().await;
    freeze_before_send(&system, Duration::from_millis(10_500)).await;
    sleep(Duration::from_millis(500)).await;
    assert!(executed_request_ids(&system).is_empty());
    let result = send_until_answered(system.entries[1].address).await;
    assert_eq!(executed_request_ids(&system), [result.0.request]);
}

#[tokio::test]
async fn briefly_frozen_entry_and_a_retry_run_the_call_once() {
    let system = start().await;
    let retry = async {
        sleep(Duration::from_millis(1_200)).await;
        send_until_answered(system.entries[1].address).await
    };
    let frozen = freeze_before_send(&system, Duration::from_secs(2));
    let ((), result) = tokio::join!(frozen, retry);
    assert!(result.is_answer());
    assert_eq!(executed_request_ids(&system).len(), 1);
}

#[tokio::test]
async fn lost_claim_does_not_delay_the_shutdown() {
    let mut system = start().await;
    let address = system.entries[0].address;
    send_until_answered(address).await;
    system
        .kv
        .set_faults(&json!({"down": true}))
        .expect("known faults");
    let lost = ServiceCall {
        idempotency_key: "callout-18".to_owned(),
        ..service_call()
    };
    assert_eq!(send(address, &lost).await.outcome(), "not_run");
    system
        .kv
        .set_faults(&json!({"down": false}))
        .expect("known faults");
    system.entries[0].signal("TERM");
    let ended = system.entries[0].exit(Duration::from_secs(30)).await;
    assert!(ended.is_some_and(|status| status.success()), "{ended:?}");
}
