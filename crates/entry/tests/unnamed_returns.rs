//! Instances on a key-value service that comes back from an older copy and names no incarnation.

mod support;

use {
    keyvalue::{KeyValue, KvCopy, MemoryKv},
    serde_json::Value,
    std::time::{Duration, Instant},
    support::{Instance, follower_fleet::FollowerFleet, put, target::Target, wait_until},
    tokio::time::sleep,
};

/// Number of changes that the service forgets.
const FORGOTTEN_CHANGES_COUNT: u32 = 50;
/// Time to live of an instance's lease.
const LEASE_TTL: Duration = Duration::from_secs(2);
/// Longer than an outage in which leases end.
const OUTAGE: Duration = Duration::from_secs(3);

/// Instances, each with a connection of its own to the service, before a target.
struct Fleet {
    kv: MemoryKv,
    /// Copy of the service before anything was written.
    empty: KvCopy,
    connections: Vec<MemoryKv>,
    instances: Vec<Instance>,
    target: Target,
}

impl Fleet {
    async fn start(names: &[&str]) -> Self {
        let kv = MemoryKv::new();
        let empty = kv.take_copy();
        let target = Target::start(Duration::ZERO).await;
        let connections: Vec<MemoryKv> = names.iter().map(|_| kv.peer()).collect();
        let start = |(name, kv): (&&str, &MemoryKv)| Instance::start(name, kv.clone());
        let instances = names.iter().zip(&connections).map(start).collect();
        let fleet = Self {
            kv,
            empty,
            connections,
            instances,
            target,
        };
        fleet.write_again().await;
        wait_until("all addresses", async || fleet.knows_all().await).await;
        fleet
    }

    /// Writes what operators and targets have written before, with a connection that knows of no return.
    async fn write_again(&self) {
        let writer = self.kv.peer();
        put(&writer, "operators/configuration", "5").await;
        put(&writer, "targets/t1", &format!("{} 1", self.target.address)).await;
    }

    async fn write_changes(&self, count: u32) {
        let writer = self.kv.peer();
        for number in 0..count {
            put(&writer, "unused", &number.to_string()).await;
        }
    }

    /// Whether each instance tells callers the addresses of all.
    async fn knows_all(&self) -> bool {
        for instance in &self.instances {
            if instance.addresses().await.len() != self.instances.len() {
                return false;
            }
        }
        true
    }

    /// Whether the service holds the records of all instances.
    async fn are_registered(&self) -> bool {
        let members = self.kv.peer().range("rattan/members/").await;
        members.is_ok_and(|members| members.pairs.len() == self.instances.len())
    }

    /// Calls through all instances until a target has got one.
    async fn wait_for_call_at(&self, target: &Target) {
        wait_until("a call at the target", async || {
            for instance in &self.instances {
                instance.call("/x").await;
            }
            target.calls_count() > 0
        })
        .await;
    }

    fn cut(&self, is_cut: bool) {
        for connection in &self.connections {
            cut(connection, is_cut);
        }
    }

    fn restored_lines(&self) -> Vec<String> {
        let lines = |it: &Instance| it.lines("\"event\":\"restored\"");
        self.instances.iter().flat_map(lines).collect()
    }
}

fn cut(connection: &MemoryKv, is_cut: bool) {
    connection.set_faults(|faults| faults.unreachable = is_cut);
    if is_cut {
        connection.cut_watches();
    }
}

/// Guards against instances that live through a return and do not notice it.
#[tokio::test]
async fn instances_read_again_and_register_again() {
    let fleet = Fleet::start(&["one", "two", "three"]).await;
    for returns_count in 1..=2 {
        fleet.write_changes(FORGOTTEN_CHANGES_COUNT).await;
        sleep(LEASE_TTL).await;
        fleet.kv.restore(&fleet.empty);
        wait_until("a line of each instance", async || {
            fleet.restored_lines().len() == returns_count * fleet.instances.len()
        })
        .await;
        assert!(fleet.are_registered().await);
        fleet.write_again().await;
        assert!(fleet.knows_all().await);
    }
    for line in fleet.restored_lines() {
        let line: Value = serde_json::from_str(&line).unwrap();
        assert_eq!(line["incarnation"], 0, "{line}");
        let [before, after] = ["revision_before", "revision"].map(|it| line[it].as_u64().unwrap());
        assert!(before > after, "{line}");
    }
}

/// Guards against changes that are missed silently once their revisions are given out again.
#[tokio::test]
async fn what_is_written_at_revisions_given_out_again_is_seen() {
    let fleet = Fleet::start(&["one", "two"]).await;
    let copy = fleet.kv.take_copy();
    fleet.write_changes(FORGOTTEN_CHANGES_COUNT).await;
    sleep(Duration::from_millis(200)).await;
    fleet.kv.restore(&copy);
    let second = Target::start(Duration::ZERO).await;
    let registration = format!("{} 1", second.address);
    put(&fleet.kv.peer(), "targets/t2", &registration).await;
    fleet.wait_for_call_at(&second).await;
}

/// Guards against state that stays old where no answer shows the return: the revisions have passed those that
/// were known, but the lease is gone.
#[tokio::test]
async fn lease_that_is_gone_too_early_has_everything_read_again() {
    let fleet = Fleet::start(&["one"]).await;
    fleet.write_changes(FORGOTTEN_CHANGES_COUNT).await;
    sleep(Duration::from_millis(200)).await;
    let second = Target::start(Duration::ZERO).await;
    // The instance gets no answer until the revisions have passed those that it knows.
    let set_silent = |is_silent| {
        fleet.connections[0].set_faults(|faults| {
            (faults.paused, faults.watches_silent) = (is_silent, is_silent);
        });
    };
    set_silent(true);
    fleet.kv.restore(&fleet.empty);
    let registration = format!("{} 1", second.address);
    put(&fleet.kv.peer(), "targets/t2", &registration).await;
    fleet.write_again().await;
    fleet.write_changes(2 * FORGOTTEN_CHANGES_COUNT).await;
    set_silent(false);
    fleet.wait_for_call_at(&second).await;
    assert!(fleet.restored_lines().is_empty(), "nothing proves a return");
}

/// Guards against two instances that both give orders: one cut off from the service, which still relies
/// on its lease, and one that acquired the lock that the service forgot.
#[tokio::test]
async fn next_holder_waits_for_one_that_is_cut_off() {
    let fleet = Fleet::start(&["one", "two", "three"]).await;
    put(&fleet.kv, "operators/version/m", "2").await;
    wait_until("an order", async || !fleet.target.orders().is_empty()).await;
    let first = fleet.target.orders()[0].clone();
    let mut names = fleet.instances.iter().map(|it| &it.settings.instance);
    let index = names.position(|name| *name == first.holder).unwrap();
    fleet.write_changes(FORGOTTEN_CHANGES_COUNT).await;
    sleep(Duration::from_millis(200)).await;
    cut(&fleet.connections[index], true);
    fleet.kv.restore(&fleet.empty);
    let restored_at = Instant::now();
    fleet.write_again().await;
    put(&fleet.kv.peer(), "operators/version/m", "3").await;
    let next = || {
        let mut orders = fleet.target.orders().into_iter();
        orders.find(|it| it.holder != first.holder)
    };
    wait_until("an order of another", async || next().is_some()).await;
    let took = restored_at.elapsed();
    let gap = fleet.instances[0].settings.order_gap;
    assert!(took >= LEASE_TTL + gap, "ordered after {took:?}");
    assert!(next().unwrap().fencing > first.fencing);
}

/// Guards against a sound service that is taken for one that went back.
#[tokio::test]
async fn outage_in_which_leases_end_is_no_return() {
    let fleet = Fleet::start(&["one", "two", "three"]).await;
    for connection in &fleet.connections {
        connection.set_faults(|faults| {
            faults.lost_answer_count = 2;
            faults.late_call_count = 2;
            faults.late_call_delay = LEASE_TTL / 2;
        });
    }
    fleet.kv.expire_leases();
    fleet.kv.compact();
    fleet.write_changes(FORGOTTEN_CHANGES_COUNT).await;
    fleet.cut(true);
    sleep(OUTAGE).await;
    fleet.cut(false);
    wait_until("registered", async || fleet.are_registered().await).await;
    fleet.kv.expire_leases();
    sleep(LEASE_TTL).await;
    wait_until("registered", async || fleet.are_registered().await).await;
    assert_eq!(fleet.restored_lines(), Vec::<String>::new());
}

/// Guards against readers that go on with what an aggregator passes on of another history.
#[tokio::test]
async fn readers_through_aggregators_read_again() {
    let fleet = FollowerFleet::start_unnamed(40, 4).await;
    put(&fleet.kv, "targets/old", "127.0.0.1:9 1").await;
    fleet.settle().await;
    let copy = fleet.kv.take_copy();
    put(&fleet.kv, "targets/lost", "127.0.0.1:9 1").await;
    for _ in 0..FORGOTTEN_CHANGES_COUNT {
        put(&fleet.kv, "unused", "x").await;
    }
    let version = fleet.configure().await;
    fleet.wait_for_version(version, &[]).await;
    fleet.wait_for_targets(&["old", "lost"], &[]).await;
    fleet.kv.restore(&copy);
    put(&fleet.kv.peer(), "targets/new", "127.0.0.1:9 1").await;
    let newer = fleet.configure().await;
    fleet.wait_for_targets(&["old", "new"], &[]).await;
    fleet.wait_for_version(newer, &[]).await;
    fleet.settle().await;
    let lines = fleet.lines("\"event\":\"restored\"");
    assert_eq!(lines.len(), fleet.members.len());
}
