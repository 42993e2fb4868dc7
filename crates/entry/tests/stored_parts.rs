//! What instances fetch from stores of cached parts, and when they free parts there.

mod support;

use {
    keyvalue::MemoryKv,
    std::time::Duration,
    support::{
        Instance, OutgoingCall, keep_current, part_store::PartStore, put, target::Target,
        wait_until,
    },
    tokio::time::sleep,
};

/// A prompt whose first part other prompts share.
fn prompt() -> OutgoingCall {
    OutgoingCall::prompt("session:5000,own:10").path("/once/")
}

/// A key-value service that knows a target and a store.
async fn service(target: &Target, store: &PartStore) -> MemoryKv {
    let kv = MemoryKv::new();
    let configuration = format!("1 {}", store.address);
    put(&kv, "operators/configuration", &configuration).await;
    put(&kv, "operators/version/m", "1").await;
    put(&kv, "targets/t1", &format!("{} 1", target.address)).await;
    keep_current(&kv);
    kv
}

/// Starts instances that have read what the store holds.
async fn start(names: &[&str], kv: &MemoryKv, target: &Target, store: &PartStore) -> Vec<Instance> {
    let instances: Vec<Instance> = names
        .iter()
        .map(|name| Instance::start(name, kv.clone()))
        .collect();
    for instance in &instances {
        let fetches = async || {
            instance.send(&prompt()).await == Some(200)
                && target.last_fetch() == Some(store.address)
        };
        wait_until("a part that is fetched", fetches).await;
    }
    instances
}

#[tokio::test]
async fn parts_are_fetched_while_the_key_value_service_is_away() {
    let (target, store) = (
        Target::start(Duration::ZERO).await,
        PartStore::start().await,
    );
    store.hold("1", "session", 5_000);
    let kv = service(&target, &store).await;
    let instances = start(&["one", "two"], &kv, &target, &store).await;
    kv.set_faults(|faults| faults.unreachable = true);
    sleep(Duration::from_secs(6)).await;
    for instance in &instances {
        assert_eq!(instance.send(&prompt()).await, Some(200));
        assert_eq!(target.last_fetch(), Some(store.address));
    }
}

#[tokio::test]
async fn second_new_version_does_not_keep_parts_of_the_first_in_the_store() {
    let (target, store) = (
        Target::start(Duration::ZERO).await,
        PartStore::start().await,
    );
    store.hold("1", "session", 5_000);
    let kv = service(&target, &store).await;
    let instances = start(&["one"], &kv, &target, &store).await;
    put(&kv, "operators/version/m", "2").await;
    sleep(Duration::from_secs(4)).await;
    put(&kv, "operators/version/m", "3").await;
    wait_until("a freed part", async || !store.freed().is_empty()).await;
    assert_eq!(store.freed(), ["1 session"]);
    drop(instances);
}
