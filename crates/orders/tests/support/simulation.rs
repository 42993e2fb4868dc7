//! A seeded simulation of instances that each assume to own the target, with faults, which records
//! the orders that reach the target.

use {
    super::{TargetHold, target_hold::MARGIN},
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

/// The target, which records the fencing tokens of the orders that it accepted.
#[derive(Debug)]
struct Engine {
    checks_fencing: bool,
    accepted_tokens: Vec<Revision>,
    refused_count: usize,
}

impl Engine {
    fn order(&mut self, fencing_token: Revision) {
        let newest = self.accepted_tokens.iter().copied().max().unwrap_or(0);
        if self.checks_fencing && fencing_token < newest {
            self.refused_count += 1;
            return;
        }
        self.accepted_tokens.push(fencing_token);
    }
}

/// What one or more runs showed.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RunReport {
    /// Number of accepted orders.
    pub order_count: usize,
    /// Number of orders that the target refused because they came from earlier holders.
    pub refused_count: usize,
    /// Number of orders that came from another holder than the order before.
    pub handover_count: usize,
    /// Seeds in which the target accepted an earlier holder's order after a later holder's.
    pub failed_seeds: Vec<u64>,
}

impl RunReport {
    /// Adds the report of another run.
    pub fn add(&mut self, other: Self) {
        self.order_count += other.order_count;
        self.refused_count += other.refused_count;
        self.handover_count += other.handover_count;
        self.failed_seeds.extend(other.failed_seeds);
    }
}

/// Runs instances that all hold the target in the way of `Hold`.
pub struct Simulation<Hold>(PhantomData<Hold>);

impl<Hold> Simulation<Hold>
where
    Hold: TargetHold,
{
    /// Runs one seed to its end in simulated time.
    pub async fn run(seed: u64, checks_fencing: bool) -> RunReport {
        let kv = MemoryKv::new();
        let engine = Arc::new(Mutex::new(Engine {
            checks_fencing,
            accepted_tokens: Vec::new(),
            refused_count: 0,
        }));
        let end = Instant::now() + RUN_TIME;
        let mut tasks = vec![tokio::spawn(jump_clock(kv.clone(), random(seed, 0), end))];
        for index in 1..=INSTANCE_COUNT {
            let handle = kv.peer();
            let hold = Hold::start(handle.clone(), &index.to_string());
            let faults = switch_faults(handle, random(seed, index), end);
            let orders = give_orders(hold, engine.clone(), random(seed, 10 + index), end);
            tasks.extend([tokio::spawn(faults), tokio::spawn(orders)]);
        }
        for task in tasks {
            task.await.unwrap();
        }
        report(seed, &engine.lock().unwrap())
    }
}

/// Runs one instance. From time to time it changes its mind about whether it owns the target, and
/// from time to time it freezes.
async fn give_orders<Hold>(
    mut hold: Hold,
    engine: Arc<Mutex<Engine>>,
    mut random: ChaCha8Rng,
    end: Instant,
) where
    Hold: TargetHold,
{
    let mut wanted = true;
    while Instant::now() < end {
        if random.random_bool(0.03) {
            wanted = !wanted;
        }
        hold.step(wanted).await;
        if random.random_bool(0.05) {
            sleep(up_to(&mut random, 40_000)).await;
        }
        let checks_fencing = engine.lock().unwrap().checks_fencing;
        if let Some(fencing_token) = hold.fencing_token(checks_fencing) {
            let (engine, delay) = (engine.clone(), up_to(&mut random, max_delay_ms()));
            tokio::spawn(async move {
                sleep(delay).await;
                engine.lock().unwrap().order(fencing_token);
            });
        }
        sleep(Duration::from_secs(1)).await;
    }
}

/// Returns the longest delay of an order: orders arrive within the margin.
fn max_delay_ms() -> u64 {
    u64::try_from(MARGIN.as_millis()).unwrap() - 1
}

/// Switches random faults of one instance's handle on and off. While the service does not answer,
/// the instance that waits for it is frozen too.
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

/// Lets the service's clock jump ahead from time to time, so that all leases expire at once.
async fn jump_clock(kv: MemoryKv, mut random: ChaCha8Rng, end: Instant) {
    while Instant::now() < end {
        sleep(up_to(&mut random, 120_000)).await;
        kv.expire_leases();
    }
}

fn report(seed: u64, engine: &Engine) -> RunReport {
    let pairs = engine.accepted_tokens.windows(2);
    let is_out_of_order = pairs.clone().any(|pair| pair[1] < pair[0]);
    RunReport {
        order_count: engine.accepted_tokens.len(),
        refused_count: engine.refused_count,
        handover_count: pairs.filter(|pair| pair[1] != pair[0]).count(),
        failed_seeds: is_out_of_order.then_some(seed).into_iter().collect(),
    }
}

fn random(seed: u64, stream: usize) -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(seed * 100 + stream as u64)
}

fn up_to(random: &mut ChaCha8Rng, max_ms: u64) -> Duration {
    Duration::from_millis(random.random_range(0..=max_ms))
}
