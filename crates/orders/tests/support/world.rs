//! One seeded run: instances that each believe to own the target, faults, and the orders that
//! reached it.

use {
    super::{Tenancy, tenancy::MARGIN},
    catalog::Revision,
    keyvalue::{KvFaults, MemoryKv},
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{
        marker::PhantomData,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::time::{Instant, sleep},
};

const INSTANCE_COUNT: usize = 3;
const RUN_TIME: Duration = Duration::from_mins(10);

/// The target: it lists the fencing numbers of the orders that it took.
#[derive(Debug)]
struct Engine {
    checks_fencing: bool,
    accepted: Vec<Revision>,
    refused_count: usize,
}

impl Engine {
    fn order(&mut self, fencing: Revision) {
        let newest = self.accepted.iter().copied().max().unwrap_or(0);
        if self.checks_fencing && fencing < newest {
            self.refused_count += 1;
            return;
        }
        self.accepted.push(fencing);
    }
}

/// What runs showed.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Verdict {
    /// Orders that were accepted.
    pub order_count: usize,
    /// Orders of earlier holders that the target refused.
    pub refused_count: usize,
    /// Orders from another holder than the one before.
    pub handover_count: usize,
    /// Seeds in which an earlier holder's order followed a later one's.
    pub failed_seeds: Vec<u64>,
}

impl Verdict {
    /// Adds what another run showed.
    pub fn add(&mut self, other: Self) {
        self.order_count += other.order_count;
        self.refused_count += other.refused_count;
        self.handover_count += other.handover_count;
        self.failed_seeds.extend(other.failed_seeds);
    }
}

/// Runs instances that hold the target in one way.
pub struct World<Tenant>(PhantomData<Tenant>);

impl<Tenant> World<Tenant>
where
    Tenant: Tenancy,
{
    /// Runs one seed to its end in paused time.
    pub async fn run(seed: u64, checks_fencing: bool) -> Verdict {
        let kv = MemoryKv::new();
        let engine = Arc::new(Mutex::new(Engine {
            checks_fencing,
            accepted: Vec::new(),
            refused_count: 0,
        }));
        let end = Instant::now() + RUN_TIME;
        let mut tasks = vec![tokio::spawn(jump_clock(kv.clone(), random(seed, 0), end))];
        for index in 1..=INSTANCE_COUNT {
            let handle = kv.peer();
            let tenant = Tenant::start(handle.clone(), &index.to_string());
            let faults = switch_faults(handle, random(seed, index), end);
            let orders = give_orders(tenant, engine.clone(), random(seed, 10 + index), end);
            tasks.extend([tokio::spawn(faults), tokio::spawn(orders)]);
        }
        for task in tasks {
            task.await.unwrap();
        }
        verdict(seed, &engine.lock().unwrap())
    }
}

/// One instance. It believes now and then that it owns the target, and freezes now and then.
async fn give_orders<Tenant>(
    mut tenant: Tenant,
    engine: Arc<Mutex<Engine>>,
    mut random: ChaCha8Rng,
    end: Instant,
) where
    Tenant: Tenancy,
{
    let mut wanted = true;
    while Instant::now() < end {
        if random.random_bool(0.03) {
            wanted = !wanted;
        }
        tenant.step(wanted).await;
        if random.random_bool(0.05) {
            sleep(up_to(&mut random, 40_000)).await;
        }
        let checks_fencing = engine.lock().unwrap().checks_fencing;
        if let Some(fencing) = tenant.fencing(checks_fencing) {
            let (engine, arrives) = (engine.clone(), up_to(&mut random, most_delay_ms()));
            tokio::spawn(async move {
                sleep(arrives).await;
                engine.lock().unwrap().order(fencing);
            });
        }
        sleep(Duration::from_secs(1)).await;
    }
}

/// Orders arrive within the margin.
fn most_delay_ms() -> u64 {
    u64::try_from(MARGIN.as_millis()).unwrap() - 1
}

/// Switches random faults of one instance's handle. Silence of the service is a freeze for what
/// waits for it.
async fn switch_faults(kv: MemoryKv, mut random: ChaCha8Rng, end: Instant) {
    while Instant::now() < end {
        let faults = random_faults(&mut random);
        kv.set_faults(|current| *current = faults);
        sleep(up_to(&mut random, 20_000)).await;
    }
    kv.set_faults(|current| *current = KvFaults::default());
}

fn random_faults(random: &mut ChaCha8Rng) -> KvFaults {
    let mut faults = KvFaults {
        late_call_delay: up_to(random, 15_000),
        ..KvFaults::default()
    };
    for _ in 0..random.random_range(0..3) {
        match random.random_range(0..7) {
            0 => faults.unreachable = true,
            1 => faults.paused = true,
            2 => faults.answer_delay = up_to(random, 15_000),
            3 => faults.call_delay = up_to(random, 15_000),
            4 => faults.lost_answer_count = 3,
            5 => faults.lost_call_count = 3,
            _ => faults.late_call_count = 3,
        }
    }
    faults
}

/// The service's clock jumps ahead: all leases lapse at once.
async fn jump_clock(kv: MemoryKv, mut random: ChaCha8Rng, end: Instant) {
    while Instant::now() < end {
        sleep(up_to(&mut random, 120_000)).await;
        kv.expire_leases();
    }
}

fn verdict(seed: u64, engine: &Engine) -> Verdict {
    let pairs = engine.accepted.windows(2);
    let went_back = pairs.clone().any(|pair| pair[1] < pair[0]);
    Verdict {
        order_count: engine.accepted.len(),
        refused_count: engine.refused_count,
        handover_count: pairs.filter(|pair| pair[1] != pair[0]).count(),
        failed_seeds: went_back.then_some(seed).into_iter().collect(),
    }
}

fn random(seed: u64, stream: usize) -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(seed * 100 + stream as u64)
}

fn up_to(random: &mut ChaCha8Rng, most_ms: u64) -> Duration {
    Duration::from_millis(random.random_range(0..=most_ms))
}
