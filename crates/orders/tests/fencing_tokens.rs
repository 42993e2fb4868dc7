//! Fencing tokens of holders while the key-value service loses what it has acknowledged.

use {
    bytes::Bytes,
    catalog::TargetId,
    keyvalue::{KeyValue, MemoryKv, Op, Txn},
    orders::{LeaseHolder, LeaseHolderSettings},
    std::{collections::BTreeSet, time::Duration},
    tokio::time::sleep,
};

const TARGET: &str = "engine";
/// Number of changes that the service forgets.
const FORGOTTEN_CHANGES_COUNT: u32 = 200;

async fn put(kv: &MemoryKv, key: &str, value: &str) {
    let write = Op::Put(key.to_owned(), Bytes::from(value.to_owned()), None);
    let write = Txn {
        success: vec![write],
        ..Txn::default()
    };
    kv.peer().txn(write).await.unwrap();
}

/// A holder of another instance, with a connection of its own to the service.
fn holder(kv: &MemoryKv, instance: &str) -> LeaseHolder<MemoryKv> {
    LeaseHolder::new(kv.peer(), LeaseHolderSettings::new(instance.to_owned()))
}

/// Has an instance acquire the target, and returns its fencing token.
async fn acquire(holder: &mut LeaseHolder<MemoryKv>) -> u64 {
    let target: TargetId = TARGET.to_owned();
    holder.renew().await.unwrap();
    let wanted = BTreeSet::from([target.clone()]);
    holder.sync(&wanted).await.unwrap();
    holder.fencing_token(&target, true).expect("a held target")
}

fn now_ms() -> u64 {
    u64::try_from(fencing::time_of_day().as_millis()).unwrap()
}

/// Guards against orders that a target refuses, or that follow those of a later holder.
#[tokio::test(start_paused = true)]
async fn tokens_rise_though_service_and_instances_forget() {
    let kv = MemoryKv::new();
    let empty = kv.take_copy();
    for _ in 0..FORGOTTEN_CHANGES_COUNT {
        put(&kv, "/a", "x").await;
    }
    let before = acquire(&mut holder(&kv, "one")).await;
    kv.restore(&empty);
    // The next holder acquires the target after the margin at the earliest.
    std::thread::sleep(Duration::from_millis(2));
    let after = acquire(&mut holder(&kv, "two")).await;
    assert!(after > before, "{before}, then {after}");
}

/// Guards against a token that falls since the clock of the next holder is behind.
#[tokio::test(start_paused = true)]
async fn tokens_rise_above_the_kept_one() {
    let kv = MemoryKv::new();
    let highest = now_ms() + 1_000_000;
    let record = format!(r#"{{"highest":{highest}}}"#);
    put(&kv, "/rattan/fencing/engine", &record).await;
    let mut first = holder(&kv, "one");
    let before = acquire(&mut first).await;
    first.resign().await;
    let after = acquire(&mut holder(&kv, "two")).await;
    assert_eq!((before, after), (highest + 1, highest + 2));
}

/// Guards against a target that nobody orders since its kept token can't be used.
#[tokio::test(start_paused = true)]
async fn unusable_kept_tokens_are_replaced() {
    for record in [
        "",
        "{}",
        r#"{"highest":-1}"#,
        r#"{"highest":18446744073709551615}"#,
    ] {
        let kv = MemoryKv::new();
        put(&kv, "/rattan/fencing/engine", record).await;
        let started_at_ms = now_ms();
        let token = acquire(&mut holder(&kv, "one")).await;
        assert!((started_at_ms..=now_ms()).contains(&token), "{token}");
    }
}

/// Guards against a target that refuses the orders of each holder until the clock has caught up.
#[tokio::test(start_paused = true)]
async fn tokens_rise_above_the_one_that_a_target_has_seen() {
    let kv = MemoryKv::new();
    let mut holder = holder(&kv, "one");
    acquire(&mut holder).await;
    let newest = now_ms() + 1_000_000;
    holder.mark_lost(&TARGET.to_owned(), newest);
    assert_eq!(acquire(&mut holder).await, newest + 1);
    holder.mark_lost(&TARGET.to_owned(), u64::MAX);
    assert_eq!(acquire(&mut holder).await, newest + 2);
}

/// Guards against a target that nobody orders for good since another writer has written its holder's key.
#[tokio::test(start_paused = true)]
async fn records_that_no_instance_wrote_are_replaced() {
    for record in [
        "",
        "null",
        "{}",
        r#"{"instance":"two"}"#,
        r#"{"lease":"x"}"#,
    ] {
        let kv = MemoryKv::new();
        put(&kv, "/rattan/holder/engine", record).await;
        let mut first = holder(&kv, "one");
        let before = acquire(&mut first).await;
        first.resign().await;
        let after = acquire(&mut holder(&kv, "two")).await;
        assert!(after > before, "{record:?}");
    }
}

/// Guards against two holders: a record with a lease may be that of another build.
#[tokio::test(start_paused = true)]
async fn records_with_a_lease_stay() {
    let kv = MemoryKv::new();
    put(
        &kv,
        "/rattan/holder/engine",
        r#"{"lease":7,"holder":["two"]}"#,
    )
    .await;
    let mut holder = holder(&kv, "one");
    holder.renew().await.unwrap();
    let target: TargetId = TARGET.to_owned();
    holder
        .sync(&BTreeSet::from([target.clone()]))
        .await
        .unwrap();
    assert_eq!(holder.fencing_token(&target, true), None);
}

/// Guards against two holders: a service that came back may have the lease of one, but not its key.
#[tokio::test(start_paused = true)]
async fn holder_notices_that_its_key_is_gone() {
    let kv = MemoryKv::new();
    let target: TargetId = TARGET.to_owned();
    let mut one = holder(&kv, "one");
    one.renew().await.unwrap();
    let with_lease_only = kv.take_copy();
    acquire(&mut one).await;
    kv.restore(&with_lease_only);
    acquire(&mut holder(&kv, "two")).await;
    // A third of the time to live.
    sleep(Duration::from_secs(10)).await;
    one.renew().await.unwrap();
    assert_eq!(one.fencing_token(&target, true), None);
    one.sync(&BTreeSet::from([target.clone()])).await.unwrap();
    assert_eq!(one.fencing_token(&target, true), None);
}
