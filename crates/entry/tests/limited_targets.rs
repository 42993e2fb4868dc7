//! Targets that state how many calls a second they take from all instances together.

mod support;

use {
    entry::Settings,
    futures::future::join_all,
    keyvalue::{KeyValue, MemoryKv},
    std::time::{Duration, Instant},
    support::{
        Instance, put, settings,
        target::{self, Target},
        wait_until,
    },
    tokio::time::{interval, sleep},
};

const LIMIT_PER_S: f64 = 1.2;
/// Time within which every instance must keep the limit.
const NEWS_DELAY: Duration = Duration::from_secs(3);
/// Length of a window in which calls are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Interval between the calls of one instance.
const CALL_PERIOD: Duration = Duration::from_millis(50);
/// Validity of an instance's lease that needs no renewal during a test.
const LONG_LEASE: Duration = Duration::from_mins(10);

struct Fleet {
    targets: Vec<Target>,
    instances: Vec<Instance>,
}

impl Fleet {
    /// Starts four targets and instances with these names, and waits until all know each other.
    async fn start(names: &[&str]) -> Self {
        let kv = MemoryKv::new();
        put(&kv, "operators/configuration", "1").await;
        let mut targets = Vec::new();
        for name in ["a", "b", "c", "d"] {
            let target = Target::start(Duration::from_millis(5)).await;
            put(
                &kv,
                &format!("targets/{name}"),
                &format!("{} 1", target.address),
            )
            .await;
            targets.push(target);
        }
        let instances: Vec<Instance> = names
            .iter()
            .map(|name| Instance::start(name, kv.clone()))
            .collect();
        for instance in &instances {
            wait_until("all addresses", async || {
                instance.addresses().await.len() == names.len()
            })
            .await;
        }
        Self { targets, instances }
    }

    /// Sends calls to all instances for `time`. Returns how many were not answered with success.
    async fn call_for(&self, time: Duration) -> usize {
        let until = Instant::now() + time;
        let calls = self.instances.iter().map(|instance| async move {
            let mut failed_count = 0;
            let mut ticks = interval(CALL_PERIOD);
            while Instant::now() < until {
                ticks.tick().await;
                let status = instance.call("/x").await.map(|(status, _)| status);
                failed_count += usize::from(status != Some(200));
            }
            failed_count
        });
        join_all(calls).await.into_iter().sum()
    }
}

/// The largest number of calls in a window that began after `since`.
fn most_in_window(target: &Target, since: Instant) -> usize {
    let mut arrivals = target.arrivals();
    arrivals.retain(|at| *at >= since);
    target::most_in_window(&arrivals, WINDOW)
}

/// Calls that a target with a limit may get in one window.
fn max_in_window() -> usize {
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let count = (1.5 * LIMIT_PER_S * WINDOW.as_secs_f64() + 5.0) as usize;
    count
}

async fn has_keys(kv: &MemoryKv, prefix: &str) -> bool {
    !kv.range(prefix).await.unwrap().pairs.is_empty()
}

#[tokio::test]
async fn all_instances_together_keep_the_limit_of_a_target() {
    let fleet = Fleet::start(&["one", "two", "three", "four", "five"]).await;
    fleet.call_for(Duration::from_millis(500)).await;
    fleet.targets[0].set_limit(Some(LIMIT_PER_S));
    let named = Instant::now();
    let failed_count = fleet.call_for(NEWS_DELAY + WINDOW * 2).await;
    let most = most_in_window(&fleet.targets[0], named + NEWS_DELAY);
    assert!(most <= max_in_window(), "{most}");
    assert!(most > 0, "the limit allows calls");
    assert_eq!(failed_count, 0, "the other targets take the rest");
}

#[tokio::test]
async fn target_that_states_no_limit_any_more_gets_its_share_of_calls_again() {
    let names = ["one", "two", "three", "four", "five", "six", "seven"];
    let fleet = Fleet::start(&names).await;
    fleet.targets[0].set_limit(Some(LIMIT_PER_S));
    fleet.call_for(NEWS_DELAY).await;
    fleet.targets[0].set_limit(None);
    fleet.call_for(NEWS_DELAY).await;
    sleep(Duration::from_millis(500)).await;
    let before = fleet.targets[0].calls_count();
    fleet.call_for(Duration::from_secs(1)).await;
    let later_count = fleet.targets[0].calls_count() - before;
    assert!(
        later_count >= 20,
        "{later_count} of about 140 calls, a quarter is its share"
    );
}

#[tokio::test]
async fn end_of_a_limit_is_announced_without_a_lease() {
    let kv = MemoryKv::new();
    put(&kv, "operators/configuration", "1").await;
    let target = Target::start(Duration::ZERO).await;
    put(&kv, "targets/a", &format!("{} 1", target.address)).await;
    let record = r#"{"limit_per_s":100.0,"instance":"other"}"#;
    put(&kv, "rattan/limits/a", record).await;
    let settings = Settings {
        min_lease: LONG_LEASE,
        ..settings("one")
    };
    let instance = Instance::start_with(settings, kv.clone());
    wait_until("the lease of the instance", async || {
        has_keys(&kv, "rattan/members/").await
    })
    .await;
    let before_count = kv.calls().lease_count;
    wait_until("the end of the limit", async || {
        instance.call("/x").await;
        !has_keys(&kv, "rattan/limits/").await
    })
    .await;
    assert_eq!(kv.calls().lease_count, before_count);
}
