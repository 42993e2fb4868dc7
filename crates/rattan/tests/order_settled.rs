//! One order at a time, with a fault at a chosen step: what its callers are told, and how often it
//! ran.

mod support;

use {
    keyvalue::{EtcdKv, EtcdSettings, KeyValue},
    serde_json::json,
    std::{net::SocketAddr, time::Duration},
    support::{
        booking::{Order, Told, send},
        caller::End,
        objects::{ACCOUNT, CALLER_KEY},
        world::{World, WorldSettings},
    },
    tokio::time::{Instant, sleep},
};

/// Longest wait until an order can be run again.
const SETTLED: Duration = Duration::from_secs(15);

async fn start() -> World {
    let mut settings = WorldSettings::new(env!("CARGO_BIN_EXE_rattand"));
    settings.flags = vec![
        ("kv-timeout-ms", "1000".to_owned()),
        ("service-timeout-ms", "1500".to_owned()),
    ];
    World::start(settings).await.expect("a world")
}

fn order() -> Order {
    Order {
        account: ACCOUNT.to_owned(),
        caller_key: CALLER_KEY.to_owned(),
        idempotency_key: "callout-17".to_owned(),
        path: "/book".to_owned(),
    }
}

/// Sends the order until it is answered.
async fn answered(address: SocketAddr) -> Told {
    let deadline = Instant::now() + SETTLED;
    loop {
        let told = send(address, &order()).await;
        if told.is_answer() {
            return told;
        }
        assert!(Instant::now() < deadline, "{told:?}");
        sleep(Duration::from_millis(200)).await;
    }
}

/// Waits until the key-value service has so many claims.
async fn until_claims(world: &World, claims_count: usize) {
    let kv = EtcdKv::new(EtcdSettings {
        endpoints: vec![world.kv.address],
        timeout: SETTLED,
    });
    let deadline = Instant::now() + SETTLED;
    while kv.range("/rattan/claim/").await.expect("up").pairs.len() < claims_count {
        assert!(Instant::now() < deadline, "no claim");
        sleep(Duration::from_millis(10)).await;
    }
}

/// Request ids of all executions.
fn executions(world: &World) -> Vec<String> {
    let ledger = world.service.role().ledger();
    ledger.into_iter().map(|run| run.request_id).collect()
}

#[tokio::test]
async fn a_claim_whose_answer_was_lost_is_settled() {
    let world = start().await;
    let addresses = [world.entries[0].address, world.entries[1].address];
    world
        .kv
        .set_faults(&json!({"lose_answers": 1}))
        .expect("a switch");
    let first = answered(addresses[0]).await;
    let second = answered(addresses[1]).await;
    assert_eq!(first.0.text, second.0.text);
    assert_eq!(executions(&world).len(), 1);
}

#[tokio::test]
async fn an_outage_is_refused_as_not_run_and_the_order_runs_later() {
    let world = start().await;
    world
        .kv
        .set_faults(&json!({"down": true}))
        .expect("a switch");
    let refused = send(world.entries[0].address, &order()).await;
    assert_eq!((refused.0.status, refused.outcome()), (503, "not_run"));
    assert!(matches!(
        refused.0.end,
        End::Refused {
            retry_after_ms: Some(_),
            ..
        }
    ));
    assert!(executions(&world).is_empty());
    world
        .kv
        .set_faults(&json!({"down": false}))
        .expect("a switch");
    answered(world.entries[1].address).await;
    assert_eq!(executions(&world).len(), 1);
}

#[tokio::test]
async fn an_order_whose_entry_was_killed_never_runs_again() {
    let mut world = start().await;
    // Another order first, so that the lost answer below is that of a claim and not of its lease.
    let other = Order {
        idempotency_key: "callout-16".to_owned(),
        ..order()
    };
    let told = send(world.entries[1].address, &other).await;
    assert!(told.is_answer(), "{told:?}");
    world
        .service
        .set_faults(&json!({"delay_ms": 1_000}))
        .expect("a switch");
    let killed = world.entries.swap_remove(0);
    let address = killed.address;
    let first = tokio::spawn(async move { send(address, &order()).await });
    // The service gets the order right after its claim and answers it a second later.
    until_claims(&world, 2).await;
    drop(killed);
    assert_eq!(first.await.expect("no panic").0.end, End::Torn);
    world
        .kv
        .set_faults(&json!({"lose_answers": 1}))
        .expect("a switch");
    for _ in 0..4 {
        let told = send(world.entries[0].address, &order()).await;
        assert_eq!(told.outcome(), "unknown", "{told:?}");
        sleep(Duration::from_millis(300)).await;
    }
    assert!(executions(&world).len() <= 2);
}

#[tokio::test]
async fn an_order_sent_into_silence_never_runs_again() {
    let world = start().await;
    world
        .service
        .set_faults(&json!({"hang": true}))
        .expect("a switch");
    let first = send(world.entries[0].address, &order()).await;
    assert_eq!(first.outcome(), "unknown");
    world
        .service
        .set_faults(&json!({"hang": false}))
        .expect("a switch");
    let second = send(world.entries[1].address, &order()).await;
    assert_eq!(second.outcome(), "unknown");
    assert!(executions(&world).len() <= 1);
}

/// Freezes an entry while the answer to its claim is under way, and thaws it after `frozen`.
async fn freeze_before_send(world: &World, frozen: Duration) {
    let entry = &world.entries[0];
    world
        .kv
        .set_faults(&json!({"delay_ms": 400}))
        .expect("a switch");
    let address = entry.address;
    // The lease that the claim needs is granted first; the freeze hits the claim or the grant.
    let first = tokio::spawn(async move { send(address, &order()).await });
    sleep(Duration::from_millis(650)).await;
    entry.signal("STOP");
    world
        .kv
        .set_faults(&json!({"delay_ms": 0}))
        .expect("a switch");
    sleep(frozen).await;
    entry.signal("CONT");
    let _ = first.await;
}

#[tokio::test]
async fn an_entry_frozen_past_its_bound_does_not_send() {
    let world = start().await;
    freeze_before_send(&world, Duration::from_millis(10_500)).await;
    sleep(Duration::from_millis(500)).await;
    assert!(executions(&world).is_empty());
    let told = answered(world.entries[1].address).await;
    assert_eq!(executions(&world), [told.0.request]);
}

#[tokio::test]
async fn an_entry_frozen_briefly_and_its_retry_run_the_order_once() {
    let world = start().await;
    let retry = async {
        sleep(Duration::from_millis(1_200)).await;
        answered(world.entries[1].address).await
    };
    let frozen = freeze_before_send(&world, Duration::from_secs(2));
    let ((), told) = tokio::join!(frozen, retry);
    assert!(told.is_answer());
    assert_eq!(executions(&world).len(), 1);
}

#[tokio::test]
async fn a_claim_that_never_arrived_does_not_hold_up_a_shutdown() {
    let mut world = start().await;
    let address = world.entries[0].address;
    answered(address).await;
    world
        .kv
        .set_faults(&json!({"down": true}))
        .expect("a switch");
    let lost = Order {
        idempotency_key: "callout-18".to_owned(),
        ..order()
    };
    assert_eq!(send(address, &lost).await.outcome(), "not_run");
    world
        .kv
        .set_faults(&json!({"down": false}))
        .expect("a switch");
    world.entries[0].signal("TERM");
    let ended = world.entries[0].exit(Duration::from_secs(30)).await;
    assert!(ended.is_some_and(|status| status.success()), "{ended:?}");
}
