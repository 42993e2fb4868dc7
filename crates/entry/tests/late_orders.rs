//! Rollouts to targets that execute some orders late or never, without a response.
//!
//! Guards against a rollout that misses its deadline because it waits for such orders.

mod support;

use {
    futures::future::join_all,
    keyvalue::MemoryKv,
    std::time::Duration,
    support::{
        Instance,
        late_target::{LateTarget, OrderHandling},
        put, wait_until,
    },
    tokio::time::{Instant, sleep},
};

/// Number of targets in the pool.
const TARGETS_COUNT: u64 = 18;
/// Time between naming two versions.
const NEXT_VERSION_TIME: Duration = Duration::from_secs(5);
/// A version must be in place this long after it was named. A rollout takes half of that.
const BOUND: Duration = Duration::from_secs(11);

struct Fleet {
    kv: MemoryKv,
    targets: Vec<LateTarget>,
    _instance: Instance,
}

/// Starts an instance that may soon send orders, and a pool whose targets treat orders as
/// `handling` returns for their index.
async fn fleet(seed: u64, handling: impl Fn(u64) -> OrderHandling) -> Fleet {
    let kv = MemoryKv::new();
    put(&kv, "operators/configuration", "1").await;
    let mut targets = Vec::new();
    for index in 0..TARGETS_COUNT {
        let target = LateTarget::start(handling(index), seed * 1_000 + index).await;
        let entry = format!("{} 1", target.address);
        put(&kv, &format!("targets/t{index:02}"), &entry).await;
        targets.push(target);
    }
    let instance = Instance::start("one", kv.clone());
    wait_until("ready", async || instance.is_ready().await).await;
    // Lets the instance acquire the order lock.
    sleep(Duration::from_secs(1)).await;
    Fleet {
        kv,
        targets,
        _instance: instance,
    }
}

impl Fleet {
    async fn name_version(&self, version: u64) {
        put(&self.kv, "operators/version/m", &version.to_string()).await;
    }

    /// Returns how many targets are older than `version` at `deadline`; returns 0 as soon as there
    /// are none.
    async fn outdated_count(&self, version: u64, deadline: Instant) -> usize {
        loop {
            let versions = self.targets.iter().map(LateTarget::version);
            let outdated_count = versions.filter(|it| *it < version).count();
            if outdated_count == 0 || Instant::now() >= deadline {
                return outdated_count;
            }
            sleep(Duration::from_millis(50)).await;
        }
    }
}

/// Names two versions, the second before the deadline of the first. Returns for each version how
/// many targets did not have it by its deadline.
async fn roll_out_two_versions(late_share: f64, seed: u64) -> (usize, usize) {
    let fleet = fleet(seed, |_| OrderHandling::Late(late_share)).await;
    let first_deadline = Instant::now() + BOUND;
    fleet.name_version(2).await;
    sleep(NEXT_VERSION_TIME).await;
    let second_named = Instant::now();
    fleet.name_version(3).await;
    let first = fleet.outdated_count(2, first_deadline).await;
    let second = fleet.outdated_count(3, second_named + BOUND).await;
    for target in &fleet.targets {
        let loaded = target.history().loaded;
        assert!(
            loaded.is_sorted(),
            "an older version was loaded after a newer one: {loaded:?}"
        );
    }
    println!(
        "seed {seed}, share {late_share}: all in place {:?} after the second, {} orders for {} loads",
        second_named.elapsed(),
        fleet
            .targets
            .iter()
            .map(|it| it.history().arrived_count)
            .sum::<u64>(),
        fleet
            .targets
            .iter()
            .map(|it| it.history().loaded.len())
            .sum::<usize>(),
    );
    (first, second)
}

#[tokio::test]
async fn late_orders_delay_no_version() {
    let rollouts = (1..=4).map(|seed| roll_out_two_versions(0.5, seed));
    let outdated = join_all(rollouts).await;
    assert_eq!(
        outdated,
        [(0, 0); 4],
        "targets without each version at its deadline"
    );
}

#[tokio::test]
async fn unresponsive_targets_delay_no_others() {
    let lost_count = TARGETS_COUNT / 3;
    // Targets with the highest names are ordered first.
    let handling = |index| {
        if index < TARGETS_COUNT - lost_count {
            OrderHandling::Late(0.0)
        } else {
            OrderHandling::Lost
        }
    };
    let fleet = fleet(1, handling).await;
    fleet.name_version(2).await;
    let deadline = Instant::now() + BOUND;
    let lost_count = usize::try_from(lost_count).unwrap();
    wait_until("all others in place", async || {
        fleet.outdated_count(2, Instant::now()).await == lost_count || Instant::now() > deadline
    })
    .await;
    assert_eq!(fleet.outdated_count(2, Instant::now()).await, lost_count);
    let lost = fleet.targets.iter().rev().take(lost_count);
    let max_orders_count = lost.map(|it| it.history().arrived_count).max().unwrap();
    assert!(
        max_orders_count < 40,
        "orders are not repeated in a tight loop: {max_orders_count}"
    );
}
