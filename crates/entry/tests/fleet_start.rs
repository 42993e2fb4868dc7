//! A large fleet that starts at once before stores that hold many parts. Guards against instances that
//! list and publish nearly all stores while they know few of the others.

mod support;

use {
    entry::{MIN_INSTANCES_COUNT, Settings},
    keyvalue::MemoryKv,
    std::time::Duration,
    support::{
        Instance, OutgoingCall, keep_current, part_store::PartStore, put, settings, target::Target,
        wait_until,
    },
    tokio::time::sleep,
};

const DOMAINS: [&str; 3] = ["a", "b", "c"];
const INSTANCES_COUNT: usize = MIN_INSTANCES_COUNT + 5;
const STORES_COUNT: usize = 20;
const PARTS_PER_STORE_COUNT: usize = 500;
/// More than the lists of all stores take.
const MAX_LISTS_BYTES: usize = STORES_COUNT * PARTS_PER_STORE_COUNT * 24;
/// Delay between the starts, which takes 0.3 s for all of them.
const START_DELAY: Duration = Duration::from_millis(7);
/// Time after the start in which stores might still be read again.
const REST: Duration = Duration::from_secs(2);

fn part_id(store_index: usize, index: usize) -> String {
    format!("part-{store_index}-{index}")
}

async fn start_stores() -> Vec<PartStore> {
    let mut stores = Vec::new();
    for store_index in 0..STORES_COUNT {
        let store = PartStore::start().await;
        for index in 0..PARTS_PER_STORE_COUNT {
            store.hold("1", &part_id(store_index, index), 5_000);
        }
        stores.push(store);
    }
    stores
}

async fn service(target: &Target, stores: &[PartStore]) -> MemoryKv {
    let kv = MemoryKv::new();
    let addresses: Vec<_> = stores.iter().map(|it| it.address.to_string()).collect();
    let configuration = format!("1 {}", addresses.join(" "));
    put(&kv, "operators/configuration", &configuration).await;
    put(&kv, "operators/version/m", "1").await;
    put(&kv, "targets/t1", &format!("{} 1", target.address)).await;
    keep_current(&kv);
    kv
}

async fn start_fleet(kv: &MemoryKv) -> Vec<Instance> {
    let mut instances = Vec::new();
    for index in 0..INSTANCES_COUNT {
        let settings = Settings {
            failure_domain: DOMAINS[index % DOMAINS.len()].to_owned(),
            ..settings(&format!("entry-{index:02}"))
        };
        instances.push(Instance::start_with(settings, kv.clone()));
        sleep(START_DELAY).await;
    }
    instances
}

#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn each_store_is_listed_about_once() {
    let (target, stores) = (Target::start(Duration::ZERO).await, start_stores().await);
    let kv = service(&target, &stores).await;
    let instances = start_fleet(&kv).await;
    for store in &stores {
        wait_until("a list", async || store.whole_reads_count() > 0).await;
    }
    for (index, instance) in instances.iter().enumerate() {
        let store_index = index % STORES_COUNT;
        let part = part_id(store_index, PARTS_PER_STORE_COUNT - 1);
        let call = OutgoingCall::prompt(&format!("{part}:5000,own:10")).path("/once/");
        let address = stores[store_index].address;
        wait_until("a part that is fetched", async || {
            instance.send(&call).await == Some(200) && target.last_fetch() == Some(address)
        })
        .await;
    }
    sleep(REST).await;
    let lists_count: usize = stores.iter().map(PartStore::whole_reads_count).sum();
    let sent_bytes: usize = stores.iter().map(PartStore::sent_bytes).sum();
    println!("{lists_count} lists, {sent_bytes} bytes");
    assert!(
        lists_count <= 2 * STORES_COUNT,
        "{lists_count} lists of {STORES_COUNT} stores"
    );
    assert!(sent_bytes <= 2 * MAX_LISTS_BYTES, "{sent_bytes} bytes");
}
