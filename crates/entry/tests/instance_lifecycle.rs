//! Instances on one key-value service: joining, serving, sending orders, outages and draining.

mod support;

use {
    keyvalue::{KeyValue, MemoryKv},
    std::time::Duration,
    support::{Instance, keep_current, put, target::Target, wait_until},
};

async fn fleet(target: &Target) -> MemoryKv {
    let kv = MemoryKv::new();
    put(&kv, "operators/configuration", "1").await;
    put(&kv, "targets/t1", &format!("{} 1", target.address)).await;
    kv
}

/// Starts two instances and waits until they know each other.
async fn two_instances(kv: MemoryKv) -> (Instance, Instance) {
    let one = Instance::start("one", kv.clone());
    let two = Instance::start("two", kv);
    for instance in [&one, &two] {
        wait_until("both addresses", async || {
            instance.addresses().await.len() == 2
        })
        .await;
    }
    (one, two)
}

#[tokio::test]
async fn instances_discover_each_other_and_serve_calls() {
    let target = Target::start(Duration::ZERO).await;
    let kv = fleet(&target).await;
    let (one, two) = two_instances(kv).await;
    for instance in [&one, &two] {
        assert!(instance.is_ready().await);
        let answered = instance.call("/x").await;
        assert_eq!(answered, Some((200, "done".to_owned())));
    }
}

#[tokio::test]
async fn instance_without_a_configuration_is_not_ready() {
    let kv = MemoryKv::new();
    let one = Instance::start("one", kv.clone());
    wait_until("a refusal", async || {
        one.call("/x")
            .await
            .is_some_and(|(status, _)| status == 503)
    })
    .await;
    assert!(!one.is_ready().await);
    put(&kv, "operators/configuration", "1").await;
    wait_until("ready", async || one.is_ready().await).await;
}

#[tokio::test]
async fn calls_succeed_during_an_outage_of_the_key_value_service() {
    let target = Target::start(Duration::ZERO).await;
    let kv = fleet(&target).await;
    let one = Instance::start("one", kv.clone());
    wait_until("served", async || {
        one.call("/x")
            .await
            .is_some_and(|(status, _)| status == 200)
    })
    .await;
    kv.set_faults(|faults| faults.unreachable = true);
    kv.cut_watches();
    for _ in 0..20 {
        let status = one.call("/x").await.map(|(status, _)| status);
        assert_eq!(status, Some(200));
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert!(one.is_ready().await);
    kv.set_faults(|faults| faults.unreachable = false);
    put(&kv, "operators/configuration", "2").await;
    assert!(one.is_ready().await);
}

#[tokio::test]
async fn only_one_holder_orders_a_named_version() {
    let target = Target::start(Duration::ZERO).await;
    let kv = fleet(&target).await;
    let _instances = [
        Instance::start("one", kv.clone()),
        Instance::start("two", kv.clone()),
    ];
    put(&kv, "operators/version/m", "2").await;
    wait_until("an order", async || !target.orders().is_empty()).await;
    put(&kv, "targets/t1", &format!("{} 2", target.address)).await;
    put(&kv, "operators/version/m", "3").await;
    wait_until("the next order", async || {
        target.orders().iter().any(|it| it.version == 3)
    })
    .await;
    let orders = target.orders();
    assert!(
        orders.iter().all(|it| it.holder == orders[0].holder),
        "{orders:?}"
    );
    assert!(
        orders.iter().all(|it| it.fencing == orders[0].fencing),
        "{orders:?}"
    );
}

#[tokio::test]
async fn named_version_is_marked_as_recent_for_a_limited_time() {
    let target = Target::start(Duration::ZERO).await;
    let kv = fleet(&target).await;
    let _instances = two_instances(kv.clone()).await;
    keep_current(&kv);
    put(&kv, "operators/version/m", "2").await;
    let mark = async |key: &str| {
        let range = kv.range(key).await.unwrap();
        let pair = range.pairs.into_iter().next();
        pair.map(|pair| String::from_utf8_lossy(&pair.value).into_owned())
    };
    let (first, second) = ("rattan/versions/m/2", "rattan/versions/m/3");
    wait_until("a mark", async || mark(first).await.is_some()).await;
    put(&kv, "operators/version/m", "3").await;
    wait_until("the next mark", async || mark(second).await.is_some()).await;
    let expected = r#"{"version":3,"replaces":2}"#.to_owned();
    assert_eq!(mark(second).await, Some(expected));
    wait_until("no mark", async || mark(second).await.is_none()).await;
}

#[tokio::test]
async fn next_holder_has_a_higher_fencing_token() {
    let target = Target::start(Duration::ZERO).await;
    let kv = fleet(&target).await;
    let instances = [
        Instance::start("one", kv.clone()),
        Instance::start("two", kv.clone()),
    ];
    put(&kv, "operators/version/m", "2").await;
    wait_until("an order", async || !target.orders().is_empty()).await;
    let first = target.orders()[0].clone();
    let holder = instances
        .iter()
        .find(|it| it.settings.instance == first.holder);
    holder.unwrap().stop.cancel();
    put(&kv, "targets/t1", &format!("{} 2", target.address)).await;
    put(&kv, "operators/version/m", "3").await;
    let other = async || target.orders().iter().any(|it| it.holder != first.holder);
    wait_until("an order of the other", other).await;
    let orders = target.orders();
    let last = orders.last().unwrap();
    assert!(last.fencing > first.fencing, "{orders:?}");
}

#[tokio::test]
async fn draining_instance_is_not_advertised_and_finishes_its_calls() {
    let target = Target::start(Duration::from_millis(1_500)).await;
    let kv = fleet(&target).await;
    let (one, two) = two_instances(kv).await;
    let call = one.call("/x");
    let stop = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        one.stop.cancel();
        wait_until("not ready", async || !one.is_ready().await).await;
        let own = one.settings.listen.to_string();
        wait_until("not advertised", async || {
            !two.addresses().await.contains(&own)
        })
        .await;
    };
    let (answered, ()) = tokio::join!(call, stop);
    assert_eq!(answered, Some((200, "done".to_owned())));
    assert!(one.ended.await.unwrap().is_ok());
}
