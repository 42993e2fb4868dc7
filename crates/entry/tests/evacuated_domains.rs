//! Instances whose operators have a failure domain evacuated through the key-value service.

mod support;

use {
    keyvalue::MemoryKv,
    std::time::Duration,
    support::{Instance, delete, keep_current, put, target::Target, wait_until},
    tokio::time::sleep,
};

const KEY: &str = "operators/evacuate/east";
/// Time that a target takes for a call.
const WORK: Duration = Duration::from_millis(5);
/// Time without answers of the service that lets registrations lapse.
const LONG_CUT: Duration = Duration::from_secs(3);
/// Time within which an engine is no longer followed.
const UNFOLLOW_TIME: Duration = Duration::from_millis(500);
/// Number of calls in each check.
const CALLS_COUNT: usize = 20;

/// Two instances, each with a connection of its own to the service, before a target in each of two
/// failure domains.
struct Fleet {
    kv: MemoryKv,
    connections: [MemoryKv; 2],
    instances: Vec<Instance>,
    east: Target,
    west: Target,
}

impl Fleet {
    async fn start() -> Self {
        let kv = MemoryKv::new();
        keep_current(&kv);
        put(&kv, "operators/configuration", "1").await;
        let (east, west) = (Target::start(WORK).await, Target::start(WORK).await);
        register(&kv, "east", &east).await;
        register(&kv, "west", &west).await;
        let connections = [kv.peer(), kv.peer()];
        let instances = vec![
            Instance::start("one", connections[0].clone()),
            Instance::start("two", connections[1].clone()),
        ];
        for instance in &instances {
            wait_until("each instance knows the other", async || {
                instance.addresses().await.len() == 2
            })
            .await;
        }
        Self {
            kv,
            connections,
            instances,
            east,
            west,
        }
    }

    /// Waits until each instance has logged that the evacuation is in this state, `times` times.
    async fn wait_for(&self, state: &str, times: usize) {
        for instance in &self.instances {
            wait_until("the log line of the evacuation", async || {
                evacuations(instance, state).len() == times
            })
            .await;
        }
    }

    /// Sends calls to all instances, which must succeed. Returns how many of them reached the target in
    /// the east.
    async fn calls_in_the_east(&self) -> usize {
        let before_count = self.east.calls_count();
        for instance in &self.instances {
            for _ in 0..CALLS_COUNT {
                let (status, _) = instance.call("/x").await.unwrap();
                assert_eq!(status, 200);
            }
        }
        self.east.calls_count() - before_count
    }
}

/// Registers a target in the failure domain of its name.
async fn register(kv: &MemoryKv, name: &str, target: &Target) {
    let record = format!("{} 1 sw 0 ready 8 {name}", target.address);
    put(kv, &format!("targets/{name}"), &record).await;
}

/// Log lines of an instance that say that an evacuation is in this state.
fn evacuations(instance: &Instance, state: &str) -> Vec<String> {
    let lines = instance.lines("\"event\":\"evacuation\"").into_iter();
    let is_meant = |line: &String| line.contains(&format!("\"state\":\"{state}\""));
    lines.filter(is_meant).collect()
}

/// Guards against an instance that goes on sending calls to an evacuated failure domain, also one that stops
/// or starts meanwhile, and against a domain that stays unused afterwards.
#[tokio::test]
async fn evacuated_domain_gets_no_calls_until_the_key_is_removed() {
    let mut fleet = Fleet::start().await;
    assert!(fleet.calls_in_the_east().await > 0);
    put(&fleet.kv, KEY, "").await;
    fleet.wait_for("begun", 1).await;
    let lines = evacuations(&fleet.instances[0], "begun");
    assert!(lines[0].contains("\"targets_count\":1"), "{lines:?}");
    assert_eq!(fleet.calls_in_the_east().await, 0);
    assert!(fleet.west.calls_count() > 0);
    let stopped = fleet.instances.pop().unwrap();
    stopped.stop.cancel();
    assert_eq!(stopped.call("/x").await.map(|it| it.0), Some(200));
    stopped.ended.await.unwrap().unwrap();
    let started = Instance::start("three", fleet.kv.peer());
    wait_until("the started instance is ready", async || {
        started.is_ready().await
    })
    .await;
    fleet.instances.push(started);
    assert_eq!(fleet.calls_in_the_east().await, 0);
    delete(&fleet.kv, KEY).await;
    fleet.wait_for("ended", 1).await;
    assert!(fleet.calls_in_the_east().await > 0);
}

/// Guards against an evacuation that ends because the service cannot be reached, and against a removal during
/// that time that is never noticed.
#[tokio::test]
async fn evacuation_holds_while_the_service_is_away() {
    let fleet = Fleet::start().await;
    put(&fleet.kv, KEY, r#"{"reason":"power"}"#).await;
    fleet.wait_for("begun", 1).await;
    for kv in &fleet.connections {
        kv.set_faults(|faults| faults.unreachable = true);
        kv.cut_watches();
    }
    sleep(LONG_CUT).await;
    delete(&fleet.kv, KEY).await;
    assert_eq!(fleet.calls_in_the_east().await, 0);
    for kv in &fleet.connections {
        kv.set_faults(|faults| faults.unreachable = false);
    }
    fleet.wait_for("ended", 1).await;
    assert!(fleet.calls_in_the_east().await > 0);
}

/// Guards against targets of an evacuated failure domain that keep old weights: they get calls again later.
#[tokio::test]
async fn targets_of_an_evacuated_domain_are_still_ordered_to_load_weights() {
    let fleet = Fleet::start().await;
    put(&fleet.kv, KEY, "").await;
    fleet.wait_for("begun", 1).await;
    put(&fleet.kv, "operators/version/m", "2").await;
    wait_until("the order", async || {
        fleet.east.orders().iter().any(|order| order.version == 2)
    })
    .await;
}

/// Guards against questions to evacuated engines which prompt parts they hold, and against engines that are
/// never asked again.
#[tokio::test]
async fn engines_of_an_evacuated_domain_are_not_followed() {
    let fleet = Fleet::start().await;
    put(&fleet.kv, "operators/configuration", "2 engines").await;
    wait_until("the engine is followed", async || {
        fleet.east.events_requests_count() > 0
    })
    .await;
    put(&fleet.kv, KEY, "").await;
    fleet.wait_for("begun", 1).await;
    sleep(UNFOLLOW_TIME).await;
    let before_count = fleet.east.events_requests_count();
    let other_count = fleet.west.events_requests_count();
    wait_until("the other engine is still followed", async || {
        fleet.west.events_requests_count() > other_count + 3
    })
    .await;
    assert_eq!(fleet.east.events_requests_count(), before_count);
    delete(&fleet.kv, KEY).await;
    wait_until("the engine is followed again", async || {
        fleet.east.events_requests_count() > before_count
    })
    .await;
}

/// Guards against a key with a wrong name that changes something, or that nobody notices.
#[tokio::test]
async fn evacuation_of_an_unknown_domain_is_logged_and_changes_nothing() {
    let fleet = Fleet::start().await;
    put(&fleet.kv, "operators/evacuate/north", "").await;
    fleet.wait_for("begun", 1).await;
    let lines = evacuations(&fleet.instances[0], "begun");
    assert!(lines[0].contains("check its name"), "{lines:?}");
    assert!(fleet.calls_in_the_east().await > 0);
    let target = Target::start(WORK).await;
    register(&fleet.kv, "north", &target).await;
    fleet.wait_for("begun", 2).await;
    fleet.calls_in_the_east().await;
    assert_eq!(target.calls_count(), 0, "the domain is known now");
}
