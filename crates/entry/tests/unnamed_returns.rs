//! Instances on a key-value service that comes back from an older copy and names no incarnation.

mod support;

use {
    keyvalue::MemoryKv,
    serde_json::Value,
    std::time::{Duration, Instant},
    support::{
        follower_fleet::FollowerFleet,
        put,
        returning_fleet::{ReturningFleet, cut},
        target::Target,
        wait_until,
    },
    tokio::time::sleep,
};

/// Number of changes that the service forgets.
const FORGOTTEN_CHANGES_COUNT: u32 = 50;
/// Time to live of an instance's lease.
const LEASE_TTL: Duration = Duration::from_secs(2);
/// Longer than an outage in which leases end.
const OUTAGE: Duration = Duration::from_secs(3);

/// Starts instances on a service that names no incarnation.
async fn start(names: &[&str]) -> ReturningFleet {
    ReturningFleet::start(MemoryKv::new(), names).await
}

/// Guards against instances that live through a return and do not notice it.
#[tokio::test]
async fn instances_read_again_and_register_again() {
    let fleet = start(&["one", "two", "three"]).await;
    for returns_count in 1..=2 {
        fleet.write_changes(FORGOTTEN_CHANGES_COUNT).await;
        sleep(LEASE_TTL).await;
        fleet.kv.restore(&fleet.empty);
        wait_until("a line of each instance", async || {
            let lines = fleet.restored_lines();
            lines.iter().all(|lines| lines.len() == returns_count)
        })
        .await;
        assert!(fleet.are_registered().await);
        fleet.write_again().await;
        assert!(fleet.knows_all().await);
    }
    for line in fleet.restored_lines().concat() {
        let line: Value = serde_json::from_str(&line).unwrap();
        assert_eq!(line["incarnation"], 0, "{line}");
        let [before, after] = ["revision_before", "revision"].map(|it| line[it].as_u64().unwrap());
        assert!(before > after, "{line}");
    }
}

/// Guards against changes that are missed silently once their revisions are given out again.
#[tokio::test]
async fn what_is_written_at_revisions_given_out_again_is_seen() {
    let fleet = start(&["one", "two"]).await;
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
    let fleet = start(&["one"]).await;
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
    let lines = fleet.restored_lines().concat();
    assert!(lines.is_empty(), "nothing proves a return");
}

/// Guards against two instances that both give orders: one cut off from the service, which still relies
/// on its lease, and one that acquired the lock that the service forgot.
#[tokio::test]
async fn next_holder_waits_for_one_that_is_cut_off() {
    let fleet = start(&["one", "two", "three"]).await;
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
    let fleet = start(&["one", "two", "three"]).await;
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
    assert_eq!(fleet.restored_lines().concat(), Vec::<String>::new());
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
