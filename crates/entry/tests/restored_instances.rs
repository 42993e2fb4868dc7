//! Instances on a key-value service that comes back from an older copy.

mod support;

use {
    entry::HolderRecord,
    keyvalue::{KeyValue, MemoryKv, Op, Txn},
    std::time::{Duration, Instant},
    support::{
        put,
        returning_fleet::{ReturningFleet, cut},
        target::Target,
        wait_until,
    },
    tokio::time::sleep,
};

/// Time in which every instance has found out and is registered again.
const RETURN_TIME: Duration = Duration::from_millis(2_500);
/// Time after which operators and targets have written again what they wrote.
const REWRITE_DELAY: Duration = Duration::from_secs(2);
/// Interval between two looks at what callers see.
const LOOK_PERIOD: Duration = Duration::from_millis(20);
/// Time to live of an instance's lease.
const LEASE_TTL: Duration = Duration::from_secs(2);

/// Starts three instances on a service.
async fn start_at(kv: MemoryKv) -> ReturningFleet {
    ReturningFleet::start(kv, &["one", "two", "three"]).await
}

/// Starts three instances on a service that names its incarnation.
async fn start() -> ReturningFleet {
    start_at(MemoryKv::with_incarnation()).await
}

/// While a service returns, calls through each instance, after `look`; operators and targets write again.
async fn check_calls_while_returning<Look>(fleet: &ReturningFleet, look: Look)
where
    Look: AsyncFn(Duration),
{
    let restored_at = Instant::now();
    let mut is_written = false;
    while restored_at.elapsed() < RETURN_TIME {
        if !is_written && restored_at.elapsed() > REWRITE_DELAY {
            fleet.write_again().await;
            is_written = true;
        }
        look(restored_at.elapsed()).await;
        for instance in &fleet.instances {
            let status = instance.call("/x").await.map(|(status, _)| status);
            assert_eq!(status, Some(200), "{:?}", restored_at.elapsed());
        }
        sleep(LOOK_PERIOD).await;
    }
}

/// Guards against changes that are missed silently once their revisions are given out again.
#[tokio::test]
async fn what_is_written_at_revisions_given_out_again_is_seen() {
    let fleet = start().await;
    let copy = fleet.kv.take_copy();
    fleet.write_changes(20).await;
    sleep(LOOK_PERIOD * 5).await;
    fleet.kv.restore(&copy);
    let writer = fleet.kv.peer();
    let second = Target::start(Duration::ZERO).await;
    put(&writer, "targets/t2", &format!("{} 1", second.address)).await;
    fleet.write_changes(40).await;
    fleet.wait_for_call_at(&second).await;
}

/// Guards against a copy of the service that counts as the present state since no answer names an incarnation.
#[tokio::test]
async fn target_stays_though_a_copy_without_an_incarnation_lacks_it() {
    let fleet = start_at(MemoryKv::new()).await;
    fleet.write_changes(20).await;
    sleep(LOOK_PERIOD * 5).await;
    fleet.kv.restore(&fleet.empty);
    check_calls_while_returning(&fleet, async |_| {}).await;
}

#[tokio::test]
async fn instances_register_again_and_stay_among_the_addresses() {
    let fleet = start().await;
    for _ in 0..2 {
        fleet.kv.restore(&fleet.empty);
        check_calls_while_returning(&fleet, async |elapsed| {
            assert!(fleet.knows_all().await, "{elapsed:?}");
        })
        .await;
        assert!(fleet.are_registered().await);
    }
    wait_until("a line for each time", async || {
        let lines = fleet.restored_lines();
        lines.iter().map(Vec::len).collect::<Vec<_>>() == [2, 2, 2]
    })
    .await;
    let line = &fleet.instances[0].lines("\"event\":\"restored\"")[1];
    assert!(
        line.contains("\"incarnation_before\":2,\"incarnation\":3"),
        "{line}"
    );
    assert!(line.contains("\"lease_dropped\":true"), "{line}");
}

/// Guards against calls at a target that is about to exit, since the copy says that it is ready.
#[tokio::test]
async fn target_that_was_leaving_gets_no_calls_after_a_return() {
    let fleet = start().await;
    let second = Target::start(Duration::ZERO).await;
    put(&fleet.kv, "targets/t2", &format!("{} 1", second.address)).await;
    let leaving = format!("{} 1 s 0", fleet.target.address);
    put(&fleet.kv, "targets/t1", &leaving).await;
    let copy = fleet.kv.take_copy();
    put(&fleet.kv, "targets/t1", &format!("{leaving} leaving")).await;
    sleep(LOOK_PERIOD * 10).await;
    let before_count = fleet.target.calls_count();
    fleet.kv.restore(&copy);
    let restored_at = Instant::now();
    while restored_at.elapsed() < RETURN_TIME {
        for instance in &fleet.instances {
            assert_eq!(instance.call("/x").await.map(|got| got.0), Some(200));
        }
        sleep(LOOK_PERIOD).await;
    }
    assert_eq!(fleet.target.calls_count(), before_count);
    assert!(second.calls_count() > 0);
}

#[tokio::test]
async fn outage_before_the_return_changes_nothing() {
    let fleet = start().await;
    let copy = fleet.kv.take_copy();
    put(&fleet.kv, "operators/configuration", "7").await;
    let has_newest = async || {
        let mut has_newest = true;
        for instance in &fleet.instances {
            instance.call("/x").await;
            has_newest &= !instance.lines("\"configuration\":7").is_empty();
        }
        has_newest
    };
    wait_until("the configuration", has_newest).await;
    fleet.cut(true);
    sleep(LEASE_TTL + LEASE_TTL / 2).await;
    fleet.kv.restore(&copy);
    fleet.cut(false);
    wait_until("registered", async || fleet.are_registered().await).await;
    for instance in &fleet.instances {
        instance.call("/x").await;
        let calls = instance.lines("\"event\":\"call\"");
        assert!(calls.last().unwrap().contains("\"configuration\":7"));
    }
    assert!(fleet.knows_all().await);
}

/// Guards against two instances that both give orders: one cut off from the service, which still relies
/// on its lease, and one that acquired the lock that the service forgot.
#[tokio::test]
async fn holder_that_is_cut_off_and_the_next_one_never_both_give_orders() {
    let fleet = start().await;
    put(&fleet.kv, "operators/version/m", "2").await;
    wait_until("an order", async || !fleet.target.orders().is_empty()).await;
    let first = fleet.target.orders()[0].clone();
    let names = fleet.instances.iter().map(|it| &it.settings.instance);
    let index = names
        .clone()
        .position(|name| *name == first.holder)
        .unwrap();
    let writer = fleet.kv.peer();
    cut(&fleet.connections[index], true);
    fleet.kv.restore(&fleet.empty);
    let restored_at = Instant::now();
    fleet.write_again().await;
    put(&writer, "operators/version/m", "3").await;
    let is_next = async || {
        fleet
            .target
            .orders()
            .iter()
            .any(|it| it.holder != first.holder)
    };
    wait_until("an order of another", is_next).await;
    let gap = fleet.instances[0].settings.order_gap;
    let took = restored_at.elapsed();
    assert!(took >= LEASE_TTL + gap, "ordered after {took:?}");
    cut(&fleet.connections[index], false);
    put(&writer, "operators/version/m", "4").await;
    wait_until("a further order", async || {
        fleet.target.orders().iter().any(|it| it.version == 4)
    })
    .await;
    let fencing: Vec<u64> = fleet.target.orders().iter().map(|it| it.fencing).collect();
    assert!(fencing.is_sorted(), "{fencing:?}");
    assert!(fencing.last() > Some(&first.fencing), "{fencing:?}");
}

/// Guards against a lock that nobody holds and nobody can acquire, since its record is bound to the lease
/// of another instance, to which the service gave the same id again.
#[tokio::test]
async fn lock_bound_to_the_lease_of_another_instance_is_replaced() {
    let fleet = start().await;
    put(&fleet.kv, "operators/version/m", "2").await;
    wait_until("an order", async || !fleet.target.orders().is_empty()).await;
    let first = fleet.target.orders()[0].clone();
    let holder = fleet
        .kv
        .range("rattan/orders/holder")
        .await
        .unwrap()
        .pairs
        .remove(0);
    let text = String::from_utf8(holder.value.to_vec()).unwrap();
    let record = text.replace(&first.holder, "gone");
    let record_before: HolderRecord = serde_json::from_str(&text).unwrap();
    let lease = record_before.lease;
    let write = Txn {
        success: vec![Op::Put(holder.key, record.into(), Some(lease))],
        ..Txn::default()
    };
    fleet.kv.txn(write).await.unwrap();
    put(&fleet.kv, "operators/version/m", "3").await;
    wait_until("an order of the lease's owner", async || {
        fleet.target.orders().iter().any(|it| it.version == 3)
    })
    .await;
    let last = fleet.target.orders().pop().unwrap();
    assert!(last.fencing > first.fencing);
}

/// What becomes of writes whose answers are lost.
#[derive(Clone, Copy, Debug)]
enum LostWrite {
    Done,
    NotDone,
    /// Done after the service came back from the copy.
    DoneLater,
}

/// Guards against a compare-and-swap that is taken for done, or for not done, in another history.
#[tokio::test]
async fn lock_is_acquired_once_after_writes_whose_answers_were_lost() {
    for lost in [LostWrite::Done, LostWrite::NotDone, LostWrite::DoneLater] {
        let fleet = start().await;
        fleet.kv.restore(&fleet.empty);
        for connection in &fleet.connections {
            connection.set_faults(|faults| match lost {
                LostWrite::Done => faults.lost_answer_count = 3,
                LostWrite::NotDone => faults.lost_call_count = 3,
                LostWrite::DoneLater => {
                    faults.late_call_count = 3;
                    faults.late_call_delay = Duration::from_millis(700);
                }
            });
        }
        sleep(Duration::from_millis(600)).await;
        fleet.kv.restore(&fleet.empty);
        fleet.write_again().await;
        for version in 2..4 {
            put(
                &fleet.kv.peer(),
                "operators/version/m",
                &version.to_string(),
            )
            .await;
            wait_until("an order", async || {
                fleet.target.orders().iter().any(|it| it.version == version)
            })
            .await;
        }
        let orders = fleet.target.orders();
        assert!(
            orders.is_sorted_by_key(|it| it.fencing),
            "{lost:?}: {orders:?}"
        );
        for pair in orders.windows(2) {
            let is_same = pair[0].holder == pair[1].holder;
            assert_eq!(
                pair[0].fencing == pair[1].fencing,
                is_same,
                "{lost:?}: {orders:?}"
            );
        }
    }
}
