//! Instances through random returns of the key-value service from older copies, checked from outside.
//!
//! `RESTORED_SEEDS` sets the number of seeds, `RESTORED_FIRST_SEED` the first one.

mod support;

use {
    keyvalue::{KeyValue, KvCopy, MemoryKv, Op, Txn},
    std::{
        env,
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        time::{Duration, Instant},
    },
    support::{Instance, target::Target, wait_until},
    tokio::{task::JoinHandle, time::sleep},
};

/// Names of the instances.
const NAMES: [&str; 3] = ["one", "two", "three"];
/// Number of targets.
const TARGETS_COUNT: usize = 3;
/// Number of random steps with one seed.
const STEPS_COUNT: usize = 12;
/// Number of seeds unless the environment sets another.
const DEFAULT_SEEDS_COUNT: u64 = 1;
/// First seed unless the environment sets another; with it, the service comes back often.
const DEFAULT_FIRST_SEED: u64 = 16;
/// Interval at which operators and targets write again what the service lacks.
const REWRITE_PERIOD: Duration = Duration::from_millis(300);
/// Longest outage before the service comes back from a copy.
const MAX_OUTAGE_MS: u64 = 5_000;
/// Interval between two checks of what callers see.
const CHECK_PERIOD: Duration = Duration::from_millis(50);

/// Random numbers of a seed.
struct Random(u64);

impl Random {
    fn below(&mut self, limit: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) % limit
    }

    fn millis_below(&mut self, limit: u64) -> Duration {
        Duration::from_millis(self.below(limit))
    }
}

/// What operators and targets want the service to hold.
#[derive(Clone, Debug)]
struct Wanted {
    configuration: u64,
    version: u64,
    /// Start time of the first target, and whether it is leaving.
    started: u64,
    is_leaving: bool,
}

impl Wanted {
    /// Registration of the target at an index.
    fn registration(&self, index: usize, address: SocketAddr) -> String {
        match index {
            0 if self.is_leaving => format!("{address} 1 s {} leaving", self.started),
            0 => format!("{address} 1 s {}", self.started),
            _ => format!("{address} 1"),
        }
    }
}

/// Writes what is wanted whenever the service lacks it, as operators and targets do.
fn keep_written(kv: &MemoryKv, wanted: &Arc<Mutex<Wanted>>, targets: &[Target]) -> JoinHandle<()> {
    let (kv, wanted) = (kv.peer(), wanted.clone());
    let addresses: Vec<_> = targets.iter().map(|target| target.address).collect();
    tokio::spawn(async move {
        for round in 0.. {
            let now = wanted.lock().unwrap().clone();
            let mut items = vec![
                (
                    "operators/configuration".to_owned(),
                    now.configuration.to_string(),
                ),
                ("operators/version/m".to_owned(), now.version.to_string()),
                ("unused".to_owned(), format!("{round}")),
            ];
            for (index, address) in addresses.iter().enumerate() {
                let registration = now.registration(index, *address);
                items.push((format!("targets/t{index}"), registration));
            }
            for (key, value) in items {
                write_if_missing(&kv, &key, &value).await;
            }
            sleep(REWRITE_PERIOD).await;
        }
    })
}

async fn write_if_missing(kv: &MemoryKv, key: &str, value: &str) {
    let Ok(held) = kv.range(key).await else {
        return;
    };
    if held.pairs.iter().all(|pair| pair.value != value) {
        let put = Op::Put(key.to_owned(), value.to_owned().into(), None);
        let write = Txn {
            success: vec![put],
            ..Txn::default()
        };
        // An answer that brings the news of a return is lost; the next round writes again.
        let _ = kv.txn(write).await;
    }
}

struct Fleet {
    kv: MemoryKv,
    connections: Vec<MemoryKv>,
    instances: Vec<Instance>,
    targets: Vec<Target>,
    wanted: Arc<Mutex<Wanted>>,
    copies: Vec<KvCopy>,
    returns_count: usize,
}

impl Fleet {
    async fn start() -> Self {
        let kv = MemoryKv::with_incarnation();
        let mut targets = Vec::new();
        for _ in 0..TARGETS_COUNT {
            targets.push(Target::start(Duration::ZERO).await);
        }
        let wanted = Wanted {
            configuration: 1,
            version: 2,
            started: 1,
            is_leaving: false,
        };
        let wanted = Arc::new(Mutex::new(wanted));
        keep_written(&kv, &wanted, &targets);
        let connections: Vec<MemoryKv> = NAMES.iter().map(|_| kv.peer()).collect();
        let start = |(name, kv): (&&str, &MemoryKv)| Instance::start(name, kv.clone());
        let instances: Vec<Instance> = NAMES.iter().zip(&connections).map(start).collect();
        let fleet = Self {
            copies: vec![kv.take_copy()],
            kv,
            connections,
            instances,
            targets,
            wanted,
            returns_count: 0,
        };
        fleet.wait_for_all("at the start").await;
        wait_until("the first orders", async || {
            fleet.targets.iter().all(|it| !it.orders().is_empty())
        })
        .await;
        fleet
    }

    /// Waits until all instances know each other and serve calls.
    async fn wait_for_all(&self, when: &str) {
        wait_until(&format!("all instances {when}"), async || {
            for instance in &self.instances {
                let is_served = instance.call("/x").await.is_some_and(|got| got.0 == 200);
                if !is_served || instance.addresses().await.len() != NAMES.len() {
                    return false;
                }
            }
            true
        })
        .await;
    }

    fn holder_index(&self) -> Option<usize> {
        let orders = self.targets.iter().flat_map(Target::orders);
        let latest = orders.max_by_key(|order| order.fencing)?;
        NAMES.iter().position(|name| *name == latest.holder)
    }

    /// Takes one random step.
    async fn step(&mut self, random: &mut Random) -> String {
        match random.below(12) {
            0 | 1 => self.change(|wanted| wanted.configuration += 1, "configuration"),
            2..4 => self.change(|wanted| wanted.version += 1, "version"),
            4 => {
                self.copies.push(self.kv.take_copy());
                "copy".to_owned()
            }
            5 => self.restart_holder(random).await,
            6 => self.cut_holder(random).await,
            10 | 11 => self.leave_or_start_again().await,
            7 => {
                self.come_back(random, Duration::ZERO).await;
                self.come_back(random, Duration::ZERO).await
            }
            _ => {
                let outage = random.millis_below(MAX_OUTAGE_MS);
                self.come_back(random, outage).await
            }
        }
    }

    /// Has the first target state that it leaves, or start again if it does. Waits until every instance
    /// has heard of it.
    async fn leave_or_start_again(&self) -> String {
        let what = self.change(
            |wanted| {
                wanted.is_leaving = !wanted.is_leaving;
                wanted.started += u64::from(!wanted.is_leaving);
            },
            "leaving or started",
        );
        let wanted = self.wanted.lock().unwrap().clone();
        let state = if wanted.is_leaving {
            "leaving"
        } else {
            "ready"
        };
        let heard = format!("\"target\":\"t0\",\"state\":\"{state}\"");
        wait_until("the word of the target", async || {
            let has_heard = |instance: &Instance| {
                let lines = instance.lines("\"target\":\"t0\",\"state\"");
                lines.last().is_some_and(|line| line.contains(&heard))
            };
            self.instances.iter().all(has_heard)
        })
        .await;
        sleep(CHECK_PERIOD * 4).await;
        what
    }

    fn change<Change>(&self, change: Change, what: &str) -> String
    where
        Change: FnOnce(&mut Wanted),
    {
        change(&mut self.wanted.lock().unwrap());
        what.to_owned()
    }

    async fn come_back(&mut self, random: &mut Random, outage: Duration) -> String {
        if !outage.is_zero() {
            self.cut(&[0, 1, 2], true);
            sleep(outage).await;
        }
        let newest = self.copies.len() - 1;
        let is_older = newest > 0 && random.below(2) == 1;
        let copy = &self.copies[newest - usize::from(is_older)];
        self.kv.restore(copy);
        self.returns_count += 1;
        self.cut(&[0, 1, 2], false);
        format!("return after {outage:?}")
    }

    fn cut(&self, indexes: &[usize], is_cut: bool) {
        for index in indexes {
            let connection = &self.connections[*index];
            connection.set_faults(|faults| faults.unreachable = is_cut);
            if is_cut {
                connection.cut_watches();
            }
        }
    }

    /// Cuts the lock's holder off from the service while that comes back from a copy.
    async fn cut_holder(&mut self, random: &mut Random) -> String {
        let Some(index) = self.holder_index() else {
            return "no holder".to_owned();
        };
        self.cut(&[index], true);
        sleep(random.millis_below(300)).await;
        self.kv.restore(self.copies.last().unwrap());
        self.returns_count += 1;
        sleep(random.millis_below(4_000)).await;
        self.cut(&[index], false);
        format!("return while {} is cut off", NAMES[index])
    }

    /// Stops the lock's holder, brings the service back from a copy and starts the holder again.
    async fn restart_holder(&mut self, random: &mut Random) -> String {
        let Some(index) = self.holder_index() else {
            return "no holder".to_owned();
        };
        let instance = self.instances.remove(index);
        instance.stop.cancel();
        sleep(random.millis_below(300)).await;
        self.kv.restore(self.copies.last().unwrap());
        self.returns_count += 1;
        instance.ended.await.unwrap().unwrap();
        self.connections[index] = self.kv.peer();
        let again = Instance::start(NAMES[index], self.connections[index].clone());
        self.instances.insert(index, again);
        let started = &self.instances[index];
        wait_until("the instance that starts again", async || {
            started.is_ready().await
        })
        .await;
        format!("restart of {}", NAMES[index])
    }

    /// Checks the orders that each target has received, in the order of their arrival.
    fn check_orders(&self, seed: u64) {
        let newest = self.wanted.lock().unwrap().version;
        for target in &self.targets {
            let orders = target.orders();
            let is_sorted = orders.is_sorted_by_key(|order| order.fencing);
            assert!(is_sorted, "seed {seed}: fencing fell: {orders:?}");
            let is_sorted = orders.is_sorted_by_key(|order| order.version);
            assert!(is_sorted, "seed {seed}: an older version: {orders:?}");
            assert!(orders.iter().all(|order| order.version <= newest));
        }
        let mut orders: Vec<_> = self.targets.iter().flat_map(Target::orders).collect();
        orders.sort_by_key(|order| order.fencing);
        for pair in orders.windows(2) {
            let is_one_holder = pair[0].holder == pair[1].holder;
            let repeats = pair[0].fencing == pair[1].fencing && !is_one_holder;
            assert!(!repeats, "seed {seed}: two holders of one token: {pair:?}");
        }
    }

    /// Checks that the configuration of no instance went back.
    fn check_configurations(&self, seed: u64) {
        for instance in &self.instances {
            let calls = instance.lines("\"event\":\"call\"");
            let versions: Vec<u64> = calls.iter().map(|line| configuration(line)).collect();
            let name = &instance.settings.instance;
            assert!(
                versions.is_sorted(),
                "seed {seed}: {name} went back: {versions:?}"
            );
        }
    }

    /// Waits until everything that is wanted is in place.
    async fn settle(&self, seed: u64) {
        let wanted = self.wanted.lock().unwrap().clone();
        self.wait_for_all(&format!("with seed {seed}")).await;
        wait_until(
            &format!("the newest weights with seed {seed}"),
            async || {
                let has_newest = |target: &Target| {
                    let last = target.orders().last().map_or(1, |order| order.version);
                    last == wanted.version
                };
                let skipped = usize::from(wanted.is_leaving);
                self.targets.iter().skip(skipped).all(has_newest)
            },
        )
        .await;
        wait_until(&format!("the configuration with seed {seed}"), async || {
            for instance in &self.instances {
                instance.call("/x").await;
                let calls = instance.lines("\"event\":\"call\"");
                let last = calls.last().map_or(0, |line| configuration(line));
                if last != wanted.configuration {
                    return false;
                }
            }
            true
        })
        .await;
    }
}

fn configuration(line: &str) -> u64 {
    let (_, rest) = line.split_once("\"configuration\":").unwrap();
    rest.split(',').next().unwrap().parse().unwrap()
}

/// Sends calls to an instance until `stop` is set, and returns those that were not answered with 200.
fn keep_calling(instance: &Instance, stop: &Arc<AtomicBool>) -> JoinHandle<Vec<String>> {
    let (settings, stop) = (instance.settings.clone(), stop.clone());
    tokio::spawn(async move {
        let started = Instant::now();
        let mut failed = Vec::new();
        while !stop.load(Ordering::Relaxed) {
            let status = support::call_at(settings.listen, "/x").await;
            if status != Some(200) {
                failed.push(format!("{:?}: {status:?}", started.elapsed()));
            }
            sleep(CHECK_PERIOD).await;
        }
        failed
    })
}

async fn play(seed: u64) {
    let mut random = Random(seed);
    let mut fleet = Fleet::start().await;
    let mut steps = Vec::new();
    for _ in 0..STEPS_COUNT {
        let stop = Arc::new(AtomicBool::new(false));
        let is_restart = |fleet: &Fleet, index| fleet.holder_index() == Some(index);
        let called: Vec<usize> = (0..NAMES.len())
            .filter(|it| !is_restart(&fleet, *it))
            .collect();
        let callers = called
            .iter()
            .map(|it| keep_calling(&fleet.instances[*it], &stop));
        let callers: Vec<_> = callers.collect();
        let was_leaving = fleet.wanted.lock().unwrap().is_leaving;
        let before_count = fleet.targets[0].calls_count();
        steps.push(fleet.step(&mut random).await);
        sleep(random.millis_below(600)).await;
        stop.store(true, Ordering::Relaxed);
        for caller in callers {
            let failed = caller.await.unwrap();
            assert!(
                failed.is_empty(),
                "seed {seed}: calls failed: {failed:?} in {steps:?}"
            );
        }
        if was_leaving && fleet.wanted.lock().unwrap().is_leaving {
            let count = fleet.targets[0].calls_count() - before_count;
            assert_eq!(
                count, 0,
                "seed {seed}: calls at a leaving target: {steps:?}"
            );
        }
        fleet.check_orders(seed);
        fleet.check_configurations(seed);
    }
    fleet.settle(seed).await;
    fleet.check_orders(seed);
    fleet.check_configurations(seed);
    println!("seed {seed}: {} returns, {steps:?}", fleet.returns_count);
}

/// Guards against a step in which something of before a return is taken for true after it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn promises_hold_through_random_returns() {
    let setting = |name: &str| env::var(name).ok().map(|text| text.parse::<u64>().unwrap());
    let count = setting("RESTORED_SEEDS").unwrap_or(DEFAULT_SEEDS_COUNT);
    let first = setting("RESTORED_FIRST_SEED").unwrap_or(DEFAULT_FIRST_SEED);
    for seed in first..first + count {
        play(seed).await;
    }
}
