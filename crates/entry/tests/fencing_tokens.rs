//! Fencing tokens of orders while the key-value service loses what it has acknowledged.

mod support;

use {
    entry::{MemberRecord, fencing::next_token},
    keyvalue::{Incarnation, KeyValue, KvCopy, MemoryKv},
    proptest::prelude::proptest,
    serde_json::json,
    std::time::Duration,
    support::{
        Instance, put,
        target::{Order, Target},
        wait_until,
    },
};

/// Number of changes that the service forgets.
const FORGOTTEN_CHANGES_COUNT: u32 = 200;

/// Instances on a service that names no incarnation, before one target.
struct Fleet {
    kv: MemoryKv,
    /// Copy of the service before anything was written.
    empty: KvCopy,
    /// Each with its connection to the service.
    instances: Vec<(Instance, MemoryKv)>,
    target: Target,
}

impl Fleet {
    async fn start(names: &[&str]) -> Self {
        let kv = MemoryKv::new();
        let mut fleet = Self {
            empty: kv.take_copy(),
            kv,
            instances: Vec::new(),
            target: Target::start(Duration::ZERO).await,
        };
        fleet.write_again().await;
        fleet.start_instances(names);
        fleet
    }

    fn start_instances(&mut self, names: &[&str]) {
        let start = |name: &&str| {
            let connection = self.kv.peer();
            (Instance::start(name, connection.clone()), connection)
        };
        self.instances = names.iter().map(start).collect();
    }

    /// Ends all instances without a word to the service, as a kill does.
    async fn kill_instances(&mut self) {
        for (_, connection) in &self.instances {
            connection.set_faults(|faults| faults.unreachable = true);
            connection.cut_watches();
        }
        for (instance, _) in self.instances.drain(..) {
            instance.stop.cancel();
            instance.ended.await.unwrap().unwrap();
        }
    }

    /// Writes what operators and targets have written before.
    async fn write_again(&self) {
        self.write("operators/configuration", "5").await;
        let registration = format!("{} 1", self.target.address);
        self.write("targets/t1", &registration).await;
    }

    /// Writes a key with a connection that knows of no return.
    async fn write(&self, key: &str, value: &str) {
        put(&self.kv.peer(), key, value).await;
    }

    /// Has the target ordered to a version, and returns the order.
    async fn order(&self, version: u64) -> Order {
        self.write("operators/version/m", &version.to_string())
            .await;
        let ordered = || {
            self.target
                .orders()
                .into_iter()
                .find(|it| it.version == version)
        };
        wait_until(&format!("an order of version {version}"), async || {
            ordered().is_some()
        })
        .await;
        ordered().unwrap()
    }

    async fn write_changes(&self) {
        for number in 0..FORGOTTEN_CHANGES_COUNT {
            self.write("unused", &number.to_string()).await;
        }
    }
}

/// Guards against ONE: a lower fencing token after a higher one, once the service has come back from an older
/// copy, names no incarnation, and nobody has lived through it.
#[tokio::test]
async fn tokens_rise_though_service_and_instances_forget() {
    let mut fleet = Fleet::start(&["one", "two"]).await;
    fleet.write_changes().await;
    let first = fleet.order(2).await;
    fleet.kill_instances().await;
    fleet.kv.restore(&fleet.empty);
    fleet.write_again().await;
    fleet.start_instances(&["three", "four"]);
    let second = fleet.order(3).await;
    assert!(second.fencing > first.fencing, "{first:?}, {second:?}");
}

/// Guards against a holder that goes on with a token that is lower than one which others have lived through.
#[tokio::test]
async fn holder_goes_on_above_a_token_that_others_know() {
    let fleet = Fleet::start(&["one"]).await;
    let first = fleet.order(2).await;
    let key = "rattan/members/one";
    let member = fleet.kv.range(key).await.unwrap().pairs.remove(0);
    let member: MemberRecord = serde_json::from_slice(&member.value).unwrap();
    let other = MemberRecord {
        ready: false,
        highest_fencing: first.fencing + 1_000_000,
        fencing_holder: String::new(),
        ..member
    };
    let record = serde_json::to_string(&other).unwrap();
    put(&fleet.kv, "rattan/members/other", &record).await;
    let later = fleet.order(3).await;
    assert!(later.fencing > other.highest_fencing, "{later:?}");
}

/// Guards against a lock that nobody can acquire since what stands at its keys can't be read.
#[tokio::test]
async fn unreadable_records_of_the_lock_are_replaced() {
    for key in ["rattan/orders/fencing", "rattan/orders/holder"] {
        let mut fleet = Fleet::start(&[]).await;
        put(&fleet.kv, key, "*").await;
        fleet.start_instances(&["one"]);
        fleet.order(2).await;
    }
}

fn incarnation(number: u64) -> Incarnation {
    Incarnation {
        number,
        highest_number: number,
        ..Incarnation::default()
    }
}

/// Guards against one token for all holders, where the service names its incarnations by large numbers.
#[test]
fn tokens_rise_in_incarnations_of_any_number() {
    for number in [8_191, 1_796_602_303, u64::MAX] {
        let now = Duration::from_millis(1_796_602_303_432);
        let first = next_token(0, &incarnation(number), now);
        let second = next_token(first, &incarnation(number), now);
        assert!(second > first, "{number}: {first}, {second}");
    }
}

/// Writes that an instance, which is not ready, knows `highest_fencing`.
async fn put_member_that_knows(fleet: &Fleet, highest_fencing: u64) {
    let record = json!({
        "address": fleet.target.address, "failure_domain": "", "ready": false,
        "highest_fencing": highest_fencing,
    });
    put(&fleet.kv, "rattan/members/other", &record.to_string()).await;
}

/// Guards against one token for all holders, once another writer has named the largest number as a token.
#[tokio::test]
async fn tokens_rise_though_a_record_names_the_largest() {
    let mut fleet = Fleet::start(&["one"]).await;
    fleet.order(2).await;
    put_member_that_knows(&fleet, (1 << 53) - 2).await;
    let first = fleet.order(3).await;
    fleet.kill_instances().await;
    fleet.start_instances(&["two"]);
    let second = fleet.order(4).await;
    assert!(second.fencing > first.fencing, "{first:?}, {second:?}");
}

/// Waits until the record at `key` holds `text`.
async fn wait_for_record(fleet: &Fleet, key: &str, text: &str) {
    wait_until(&format!("{text} at {key}"), async || {
        let pairs = fleet.kv.range(key).await.unwrap().pairs;
        let mut values = pairs.iter().map(|it| String::from_utf8_lossy(&it.value));
        values.any(|it| it.contains(text))
    })
    .await;
}

/// Guards against two holders with one token, where the service forgets that it was given to the first one.
#[tokio::test]
async fn token_that_the_service_forgot_is_not_used_by_another_holder() {
    let mut fleet = Fleet::start(&[]).await;
    // Ahead of the time of day, as after a step of a clock.
    let ahead = json!({ "highest": 1_u64 << 42 });
    put(&fleet.kv, "rattan/orders/fencing", &ahead.to_string()).await;
    let copy = fleet.kv.take_copy();
    for _ in 0..3 {
        // The leases of the other instance get the ids of these.
        fleet.kv.grant(Duration::from_mins(1)).await.unwrap();
    }
    fleet.start_instances(&["one"]);
    let first = fleet.order(2).await;
    let (_one, connection) = fleet.instances.remove(0);
    connection.set_faults(|faults| faults.unreachable = true);
    fleet.kv.restore(&copy);
    fleet.start_instances(&["two"]);
    wait_for_record(&fleet, "rattan/orders/holder", "two").await;
    connection.set_faults(|faults| faults.unreachable = false);
    wait_for_record(&fleet, "rattan/members/one", "ready").await;
    let second = fleet.order(3).await;
    assert!(second.fencing > first.fencing, "{first:?}, {second:?}");
}

proptest! {
    #[test]
    fn tokens_are_above_all_known_and_the_time(
        highest in 0_u64..1 << 52,
        number in 0_u64..8_000,
        now_ms in 0_u64..1 << 52,
    ) {
        let highest_number = number;
        let incarnation = Incarnation { number, highest_number, ..Incarnation::default() };
        let token = next_token(highest, &incarnation, Duration::from_millis(now_ms));
        assert!(token > highest && token >= now_ms && token < 1 << 53);
    }
}
