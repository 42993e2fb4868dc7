//! Random histories of targets that state that they leave, want no calls, have a limit or bear few
//! refusals, beside restarts under their ids, outages of the key-value service and the shutdown of an instance.
//! Checked is what reaches the targets. `TEST_SEED` sets the first seed, `TEST_RUNS` their number.

mod support;

use {
    futures::{StreamExt, future::join_all, stream},
    keyvalue::MemoryKv,
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::time::{Duration, Instant},
    support::{
        Instance, delete, keep_current, put,
        stating_target::{Exchange, Outcome, StatingTarget},
        wait_until,
    },
    tokio::time::{interval, sleep},
};

/// Number of histories in CI.
const RUNS_COUNT: u64 = 4;
/// Number of histories that are played at the same time.
const CONCURRENT_RUNS_COUNT: usize = 4;
const INSTANCES_COUNT: usize = 3;
/// Number of targets that state something at times. One more never does.
const TARGETS_COUNT: usize = 4;
/// Number of steps of a history.
const STEPS_COUNT: usize = 14;
/// Interval between the calls at one instance.
const CALL_PERIOD: Duration = Duration::from_millis(20);
/// Time after which an instance sends no call to a target that has told it that it leaves.
const DRAIN_TIME: Duration = Duration::from_secs(2);
/// Time after a refusal in which further calls may still arrive.
const REFUSAL_SLACK: Duration = Duration::from_millis(500);
/// Calls that may arrive later, but before the time that the refusal named.
const MAX_EARLY_CALLS_COUNT: usize = 2;
/// Refusals per second that a target says it bears.
const MAX_REFUSALS_PER_S: f64 = 0.5;

/// Instances before targets that state something at times.
struct Fleet {
    kv: MemoryKv,
    /// Handle of each instance to the service.
    instance_kvs: Vec<MemoryKv>,
    instances: Vec<Instance>,
    targets: Vec<StatingTarget>,
    _steady: StatingTarget,
}

impl Fleet {
    async fn start() -> Self {
        let kv = MemoryKv::new();
        keep_current(&kv);
        put(&kv, "operators/configuration", "1").await;
        let mut targets = Vec::new();
        for index in 0..TARGETS_COUNT {
            let target = StatingTarget::start().await;
            put(&kv, &target_key(index), &target.registration()).await;
            targets.push(target);
        }
        let steady = StatingTarget::start().await;
        put(&kv, "targets/steady", &steady.registration()).await;
        let instance_kvs: Vec<MemoryKv> = (0..INSTANCES_COUNT).map(|_| kv.peer()).collect();
        let instances = instance_kvs.iter().enumerate();
        let instances: Vec<Instance> = instances
            .map(|(index, kv)| Instance::start(&format!("instance-{index}"), kv.clone()))
            .collect();
        for instance in &instances {
            wait_until("ready", async || instance.is_ready().await).await;
        }
        Self {
            kv,
            instance_kvs,
            instances,
            targets,
            _steady: steady,
        }
    }

    /// Calls all instances until the history has ended. Returns how many calls were served, and how
    /// many were sent to instances that had not been asked to stop.
    async fn call_until(&self, end: Instant) -> (usize, usize) {
        let callers = self.instances.iter().map(|instance| async move {
            let (mut served_count, mut sent_count) = (0, 0);
            let mut ticks = interval(CALL_PERIOD);
            while Instant::now() < end && !instance.stop.is_cancelled() {
                ticks.tick().await;
                let status = instance.call("/x").await.map(|(status, _)| status);
                sent_count += 1;
                served_count += usize::from(status == Some(200));
            }
            (served_count, sent_count)
        });
        let counts = join_all(callers).await;
        let sum = |(a, b), (c, d)| (a + c, b + d);
        counts.into_iter().fold((0, 0), sum)
    }

    /// Stops all instances and waits until they have ended, which frees their ports.
    async fn stop(self) {
        for instance in self.instances {
            instance.stop.cancel();
            let ended = instance.ended.await.unwrap();
            assert!(ended.is_ok(), "{ended:?}");
        }
    }

    /// Plays one random step.
    async fn step(&self, random: &mut StdRng) {
        let index = random.random_range(0..TARGETS_COUNT);
        let target = &self.targets[index];
        let kv = &self.instance_kvs[random.random_range(0..INSTANCES_COUNT)];
        match random.random_range(0..10) {
            0 | 1 => target.leave(),
            2 | 3 => {
                let time_ms = random.random_range(700..2_500);
                target.refuse_for(Duration::from_millis(time_ms));
            }
            4 => {
                target.restart();
                put(&self.kv, &target_key(index), &target.registration()).await;
            }
            5 => {
                delete(&self.kv, &target_key(index)).await;
                sleep(Duration::from_millis(random.random_range(0..200))).await;
                put(&self.kv, &target_key(index), &target.registration()).await;
            }
            6 => {
                let is_away = random.random();
                kv.set_faults(|faults| faults.unreachable = is_away);
                kv.cut_watches();
            }
            7 | 8 => {
                let time_ms = random.random_range(700..2_500);
                target.fill_for(Duration::from_millis(time_ms), MAX_REFUSALS_PER_S);
                if random.random_bool(0.2) {
                    target.bear_all_refusals();
                }
            }
            _ => {
                let has_limit: bool = random.random();
                target.set_limit(has_limit.then_some(3.0));
            }
        }
        sleep(Duration::from_millis(random.random_range(50..900))).await;
    }
}

fn target_key(index: usize) -> String {
    format!("targets/t{index}")
}

/// Time after a refusal in which its sender, even if it were the only instance, causes no further one at
/// a target that states how many it bears.
fn pause(told: &Exchange) -> Option<Duration> {
    let is_refusal = matches!(told.outcome, Outcome::Refused(_) | Outcome::RefusedFull);
    let max_per_s = told.max_refusals_per_s.filter(|_| is_refusal)?;
    Some(Duration::from_secs_f64(1.0 / max_per_s))
}

/// Whether the sender was told between a refusal and a later call that the target states no bound any
/// more.
fn is_revoked(told: &Exchange, later: &Exchange, exchanges: &[Exchange]) -> bool {
    exchanges.iter().any(|between| {
        between.sender == told.sender
            && between.start == told.start
            && between.max_refusals_per_s.is_none()
            && between.answered > told.answered
            && between.answered < later.arrived
    })
}

/// What is wrong with the calls that reached a target, if anything.
fn violations(exchanges: &[Exchange]) -> Vec<String> {
    let mut violations = Vec::new();
    for told in exchanges {
        let later = exchanges.iter().filter(|later| {
            later.sender == told.sender
                && later.start == told.start
                && later.arrived > told.answered
        });
        let after = |it: &&Exchange| it.arrived.duration_since(told.answered);
        if let Some(pause) = pause(told) {
            let early = later.clone().filter(|it| {
                after(it) > REFUSAL_SLACK && after(it) < pause && !is_revoked(told, it, exchanges)
            });
            violations.extend(early.map(|it| format!("{it:?} after the refusal {told:?}")));
        }
        match told.outcome {
            Outcome::Served | Outcome::RefusedFull => {}
            Outcome::ServedLeaving => {
                let late = later.filter(|it| after(it) > DRAIN_TIME);
                violations.extend(late.map(|it| format!("{it:?} after {told:?}")));
            }
            Outcome::Refused(time) => {
                let early = later.filter(|it| after(it) > REFUSAL_SLACK && after(it) < time);
                let count = early.count();
                if count > MAX_EARLY_CALLS_COUNT {
                    violations.push(format!("{count} calls too early after {told:?}"));
                }
            }
        }
    }
    violations
}

/// Plays the history of a seed. Returns the number of statements that instances were told.
async fn play(seed: u64) -> usize {
    let mut random = StdRng::seed_from_u64(seed);
    let fleet = Fleet::start().await;
    let steps = async {
        let stopped_at = random.random_range(0..STEPS_COUNT);
        for step in 0..STEPS_COUNT {
            if step == stopped_at {
                fleet.instances[0].stop.cancel();
            }
            fleet.step(&mut random).await;
        }
    };
    let end = Instant::now() + Duration::from_secs(9);
    let ((), (served_count, sent_count)) = tokio::join!(steps, fleet.call_until(end));
    let mut statements_count = 0;
    for target in &fleet.targets {
        let exchanges = target.exchanges();
        let violations = violations(&exchanges);
        assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
        let told = exchanges.iter().filter(|it| it.outcome != Outcome::Served);
        statements_count += told.count();
    }
    assert!(
        served_count * 10 >= sent_count * 9,
        "seed {seed}: one target always takes calls, and {served_count} of {sent_count} were served"
    );
    fleet.stop().await;
    statements_count
}

fn number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

#[tokio::test(flavor = "multi_thread")]
async fn targets_get_no_calls_that_they_have_asked_not_to_get() {
    let first = number("TEST_SEED").unwrap_or(0);
    let seeds = first..first + number("TEST_RUNS").unwrap_or(RUNS_COUNT);
    let plays = stream::iter(seeds).map(|seed| async move { (seed, play(seed).await) });
    let played: Vec<(u64, usize)> = plays.buffered(CONCURRENT_RUNS_COUNT).collect().await;
    for (seed, statements_count) in &played {
        println!("{seed}: {statements_count} statements");
    }
    assert!(played.iter().all(|(_, count)| *count > 0), "{played:?}");
}

/// Exchanges of one sender that arrived so long after the first one, each answered at once.
fn exchanges(first: Outcome, arrivals_ms: &[u64]) -> Vec<Exchange> {
    let begin = Instant::now();
    let exchange = |after_ms: u64, outcome| Exchange {
        sender: "one".to_owned(),
        start: 0,
        arrived: begin + Duration::from_millis(after_ms),
        answered: begin + Duration::from_millis(after_ms),
        outcome,
        max_refusals_per_s: None,
    };
    let later = arrivals_ms.iter().map(|ms| exchange(*ms, Outcome::Served));
    std::iter::once(exchange(0, first)).chain(later).collect()
}

#[test]
fn check_finds_calls_that_come_too_late_or_too_early() {
    assert!(violations(&exchanges(Outcome::ServedLeaving, &[1_900])).is_empty());
    assert_eq!(
        violations(&exchanges(Outcome::ServedLeaving, &[2_100])).len(),
        1
    );
    let refused = Outcome::Refused(Duration::from_secs(2));
    assert!(violations(&exchanges(refused, &[400, 450, 600, 700, 2_100])).is_empty());
    assert_eq!(violations(&exchanges(refused, &[600, 700, 800])).len(), 1);
    let mut refused = exchanges(Outcome::RefusedFull, &[400, 600, 2_100]);
    assert!(violations(&refused).is_empty());
    refused[0].max_refusals_per_s = Some(0.5);
    assert!(violations(&refused).is_empty(), "revoked after 400 ms");
    refused[1].max_refusals_per_s = Some(0.5);
    assert_eq!(violations(&refused).len(), 1);
}
