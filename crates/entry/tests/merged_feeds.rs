//! A fleet large enough for aggregators. Guards against instances that do not learn what the others
//! have in flight, or what stores hold, also after the aggregators of a failure domain have gone.

mod support;

use {
    entry::{Aggregators, MIN_INSTANCES_COUNT, MemberRecord, Settings},
    keyvalue::MemoryKv,
    std::time::Duration,
    support::{
        Instance, OutgoingCall, keep_current, part_store::PartStore, put, settings, target::Target,
        wait_until,
    },
    tokio::task::JoinSet,
};

const DOMAINS: [&str; 3] = ["a", "b", "c"];
/// Time that the target takes for a call.
const WORK: Duration = Duration::from_millis(400);
/// Number of instances that send calls.
const SENDERS_COUNT: usize = 10;
/// Number of calls that each of them has in flight.
const CALLS_COUNT: usize = 3;

fn prompt(parts: &str) -> OutgoingCall {
    OutgoingCall::prompt(parts).path("/once/")
}

fn fleet_settings() -> Vec<Settings> {
    let all = (0..=MIN_INSTANCES_COUNT).map(|index| Settings {
        failure_domain: DOMAINS[index % DOMAINS.len()].to_owned(),
        ..settings(&format!("entry-{index:02}"))
    });
    all.collect()
}

/// Names of the aggregators of a failure domain.
fn aggregators(all: &[Settings], failure_domain: &str) -> Vec<String> {
    let members = all.iter().map(|settings| {
        let record = MemberRecord {
            address: settings.listen,
            failure_domain: settings.failure_domain.clone(),
            ready: true,
            feed: Some(settings.feed_listen),
            peer_calls: settings.peer_listen,
            link_bits_per_s: settings.link_bits_per_s,
            highest_fencing: 0,
            fencing_holder: String::new(),
        };
        (settings.instance.clone(), record)
    });
    let members: Vec<_> = members.collect();
    let selected = Aggregators::select(members.iter().map(|(name, record)| (name, record)));
    let selected = selected.for_reader(failure_domain, "");
    selected.into_iter().map(|it| it.name.clone()).collect()
}

/// Estimated number of calls at the target, as the last call of the instance found it.
fn last_estimate(instance: &Instance) -> f64 {
    let lines = instance.lines("\"event\":\"call\"");
    let last = lines.last().map_or("", String::as_str);
    let value = last.split("\"in_flight_count\":").nth(1).unwrap_or("0");
    let value = value.split([',', '}']).next().unwrap();
    value.parse().unwrap()
}

/// Asserts that the instance has counted something under `name` and `kind`.
async fn assert_counted(instance: &Instance, name: &str, kind: &str) {
    let metrics = instance.metrics().await;
    let series = format!("rattan_{name}_total{{kind=\"{kind}\"}} ");
    let value = metrics.lines().find_map(|line| line.strip_prefix(&series));
    let count = value.map_or(0, |value| value.parse().unwrap());
    assert!(count > 0_u64, "{series}");
}

/// Waits until the instance knows about how many calls the senders have in flight.
async fn wait_for_estimate(instance: &Instance) {
    #[allow(clippy::cast_precision_loss)]
    let sent_count = (SENDERS_COUNT * CALLS_COUNT) as f64;
    wait_until("an estimate of the calls in flight", async || {
        instance.send(&prompt("own:10")).await;
        let estimate = last_estimate(instance);
        estimate > sent_count * 0.7 && estimate < sent_count * 1.3
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn instances_learn_through_aggregators() {
    let (target, store) = (Target::start(WORK).await, PartStore::start().await);
    store.hold("1", "session", 5_000);
    let kv = MemoryKv::new();
    let configuration = format!("1 {}", store.address);
    put(&kv, "operators/configuration", &configuration).await;
    put(&kv, "operators/version/m", "1").await;
    put(&kv, "targets/t1", &format!("{} 1", target.address)).await;
    keep_current(&kv);
    let all = fleet_settings();
    let instances: Vec<Instance> = all
        .iter()
        .map(|settings| Instance::start_with(settings.clone(), kv.clone()))
        .collect();
    for instance in &instances {
        wait_until("all addresses", async || {
            instance.addresses().await.len() == all.len()
        })
        .await;
    }
    let gone = aggregators(&all, "a");
    assert_eq!(gone.len(), 2);
    let (leaving, staying): (Vec<_>, Vec<_>) = instances
        .iter()
        .partition(|instance| gone.contains(&instance.settings.instance));
    let (senders, readers) = staying.split_at(SENDERS_COUNT);
    let mut sending = JoinSet::new();
    for sender in senders {
        for _ in 0..CALLS_COUNT {
            let (address, call) = (sender.settings.listen, prompt("own:10"));
            sending.spawn(async move {
                loop {
                    call.send_to(address).await;
                }
            });
        }
    }
    let in_each_domain = || readers.iter().rev().take(DOMAINS.len());
    for reader in in_each_domain() {
        wait_for_estimate(reader).await;
    }
    sending.shutdown().await;
    for reader in in_each_domain() {
        wait_until("a part that is fetched", async || {
            reader.send(&prompt("session:5000,own:10")).await == Some(200)
                && target.last_fetch() == Some(store.address)
        })
        .await;
    }
    // Guards against counters that miss what goes through aggregators.
    for reader in in_each_domain() {
        assert_counted(reader, "news_reads", "merged").await;
        assert_counted(reader, "news_bytes", "read").await;
    }
    for aggregator in &leaving {
        assert_counted(aggregator, "news_reads", "instance").await;
        assert_counted(aggregator, "news_bytes", "served").await;
    }
    for instance in leaving {
        instance.stop.cancel();
    }
    for reader in in_each_domain() {
        wait_until("word of the stop", async || {
            reader.addresses().await.len() == all.len() - gone.len()
        })
        .await;
    }
    store.hold("1", "later", 5_000);
    for reader in in_each_domain() {
        wait_until("a part that is fetched after the stop", async || {
            reader.send(&prompt("later:5000,own:10")).await == Some(200)
                && target.last_fetch() == Some(store.address)
        })
        .await;
    }
}
