//! Compares the two ways to admit transfers to a link: how many run at the same rate of overruns.
//!
//! Transfers of three kinds arrive at links of three sizes that are always asked for more than
//! they carry. Each transfer's rate is drawn anew from a gamma distribution every 100 ms; a link is
//! overrun in such a step if the rates add up to more than it carries. One number of deviations
//! holds for all links, as in a deployment. For each rule that number is raised until the share of
//! overrun steps falls to the wanted one, and the transfers that run are compared there.
//!
//! `cargo run --release -p admission --example link_admission [SEED]`

use {
    admission::{HeadroomRule, LinkBudget, TransferRate},
    rand::{Rng, RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
};

const DEFAULT_SEED: u64 = 20_261_203;
const STEPS_COUNT: u32 = 20_000;
/// Chance that a transfer ends in a step.
const END_CHANCE: f64 = 0.02;
/// Transfers that ask for a link in a step.
const ASKS_COUNT: u32 = 4;
const MEGABYTE_BYTES: f64 = 1e6;
const LINKS_MEGABYTES_PER_S: [f64; 3] = [60.0, 250.0, 1_000.0];
/// Mean rate in megabytes a second and standard deviation as a share of it, for each kind.
const KINDS: [(f64, f64); 3] = [(4.0, 0.3), (8.0, 0.8), (15.0, 1.2)];
const WANTED_OVERRUNS: [f64; 3] = [0.05, 0.01, 0.001];
/// Share of the variance that all transfers of a link have in common.
const SHARED_VARIANCES: [f64; 2] = [0.0, 0.2];

/// What one setting gave, over all links.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    /// Share of steps in which a link was overrun, mean of the links.
    overruns: f64,
    /// The same for the worst link.
    worst_overruns: f64,
    /// Mean number of transfers under way, sum of the links.
    flows: f64,
    /// Standard deviations that the rule kept free.
    deviations: f64,
}

fn main() {
    let argument = std::env::args().nth(1);
    let seed = argument.and_then(|it| it.parse().ok());
    let seed = seed.unwrap_or(DEFAULT_SEED);
    println!("seed {seed}, {STEPS_COUNT} steps, links {LINKS_MEGABYTES_PER_S:?} MB/s");
    println!("shared  bound on    overruns  reserved  summed  ratio  deviations     worst link");
    for shared in SHARED_VARIANCES {
        for (by_worst, name) in [(false, "mean link"), (true, "worst link")] {
            for wanted in WANTED_OVERRUNS {
                compare(seed, shared, by_worst, name, wanted);
            }
        }
    }
}

fn compare(seed: u64, shared: f64, by_worst: bool, name: &str, wanted: f64) {
    let reserved = at_overruns(wanted, by_worst, |deviations| {
        measure(seed, shared, HeadroomRule::PerTransfer { deviations })
    });
    let summed = at_overruns(wanted, by_worst, |deviations| {
        measure(seed, shared, HeadroomRule::Aggregate { deviations })
    });
    println!(
        "{shared:<6}  {name:<10}  {wanted:<8}  {:<8.1}  {:<6.1}  {:<5.3}  {:<5.2} / {:<5.2}  {:.4} / {:.4}",
        reserved.flows,
        summed.flows,
        summed.flows / reserved.flows,
        reserved.deviations,
        summed.deviations,
        reserved.worst_overruns,
        summed.worst_overruns,
    );
}

/// The outcome at the smallest number of deviations that keeps overruns within `wanted`.
fn at_overruns<Measure>(wanted: f64, by_worst: bool, measure: Measure) -> Outcome
where
    Measure: Fn(f64) -> Outcome,
{
    let (mut low, mut high) = (0.0, 16.0);
    let mut best = measure(high);
    for _ in 0..12 {
        let middle = f64::midpoint(low, high);
        let outcome = measure(middle);
        let overruns = if by_worst {
            outcome.worst_overruns
        } else {
            outcome.overruns
        };
        if overruns <= wanted {
            high = middle;
            best = Outcome {
                deviations: middle,
                ..outcome
            };
        } else {
            low = middle;
        }
    }
    best
}

fn measure(seed: u64, shared: f64, rule: HeadroomRule) -> Outcome {
    let mut total = Outcome::default();
    let links_count = LINKS_MEGABYTES_PER_S.len();
    for (index, megabytes_per_s) in LINKS_MEGABYTES_PER_S.into_iter().enumerate() {
        let mut random = ChaCha8Rng::seed_from_u64(seed + index as u64);
        let budget = LinkBudget::new(megabytes_per_s * MEGABYTE_BYTES, rule);
        let (overruns, flows) = run_link(budget, shared, &mut random);
        total.overruns += overruns / f64::from(u32::try_from(links_count).unwrap_or(1));
        total.worst_overruns = total.worst_overruns.max(overruns);
        total.flows += flows;
    }
    total
}

/// Share of overrun steps and mean number of transfers of one link.
fn run_link<Random>(mut budget: LinkBudget, shared: f64, random: &mut Random) -> (f64, f64)
where
    Random: Rng,
{
    let mut flows: Vec<TransferRate> = Vec::new();
    let (mut overruns, mut flows_sum) = (0.0, 0.0);
    for _ in 0..STEPS_COUNT {
        flows.retain(|flow| {
            let ends = random.random_bool(END_CHANCE);
            if ends {
                budget.release(*flow);
            }
            !ends
        });
        for _ in 0..ASKS_COUNT {
            let flow = draw_flow(random);
            if budget.try_admit(flow) {
                flows.push(flow);
            }
        }
        let common = normal(random);
        let rate: f64 = flows
            .iter()
            .map(|flow| draw_rate(*flow, shared, common, random))
            .sum();
        overruns += f64::from(u8::from(rate > budget.capacity_bytes_per_s));
        flows_sum += f64::from(budget.transfers_count());
    }
    let steps = f64::from(STEPS_COUNT);
    (overruns / steps, flows_sum / steps)
}

fn draw_flow<Random>(random: &mut Random) -> TransferRate
where
    Random: Rng,
{
    let (mean, share) = KINDS[random.random_range(0..KINDS.len())];
    TransferRate {
        mean_bytes_per_s: mean * MEGABYTE_BYTES,
        deviation_bytes_per_s: mean * share * MEGABYTE_BYTES,
    }
}

/// A rate with the flow's mean and deviation, gamma distributed; a part of the deviation follows
/// `common`.
fn draw_rate<Random>(flow: TransferRate, shared: f64, common: f64, random: &mut Random) -> f64
where
    Random: Rng,
{
    let own_deviation = flow.deviation_bytes_per_s * (1.0 - shared).sqrt();
    let shape = (flow.mean_bytes_per_s / own_deviation).powi(2);
    let own = gamma(shape, random) * flow.mean_bytes_per_s / shape;
    (own + flow.deviation_bytes_per_s * shared.sqrt() * common).max(0.0)
}

/// A standard normal number (Box and Muller).
fn normal<Random>(random: &mut Random) -> f64
where
    Random: Rng,
{
    let radius = (-2.0 * (1.0 - random.random::<f64>()).ln()).sqrt();
    radius * (std::f64::consts::TAU * random.random::<f64>()).cos()
}

/// A gamma distributed number of scale 1 (Marsaglia and Tsang).
fn gamma<Random>(shape: f64, random: &mut Random) -> f64
where
    Random: Rng,
{
    if shape < 1.0 {
        let power = random.random::<f64>().powf(1.0 / shape);
        return power * gamma(shape + 1.0, random);
    }
    let base = shape - 1.0 / 3.0;
    let scale = 1.0 / (9.0 * base).sqrt();
    loop {
        let draw = normal(random);
        let cube = (1.0 + scale * draw).powi(3);
        let level: f64 = 1.0 - random.random::<f64>();
        let bound = 0.5 * draw * draw + base * (1.0 - cube + cube.ln());
        if cube > 0.0 && level.ln() < bound {
            return base * cube;
        }
    }
}
