//! Compares how many transfers the two headroom rules admit to a link at the same overrun rate.
//!
//! Transfers of three kinds arrive at three links of different capacity, each of which is always
//! overloaded. Every 100 ms each transfer's rate is redrawn from a gamma distribution; a link is
//! overrun in that step if the sum of the rates exceeds its capacity. The number of standard
//! deviations is the same for all links, as in a deployment. For each rule it is set to the smallest
//! value at which the share of overrun steps is within the limit, and the number of admitted
//! transfers is compared there.
//!
//! `cargo run --release -p admission --example link_admission [SEED]`

use {
    admission::{HeadroomRule, LinkBudget, TransferRate},
    rand::{Rng, RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
};

const DEFAULT_SEED: u64 = 20_261_203;
const STEPS_COUNT: u32 = 20_000;
/// Probability that a transfer ends in a step.
const END_PROBABILITY: f64 = 0.02;
/// Number of transfers that arrive at a link in a step.
const ARRIVALS_PER_STEP: u32 = 4;
const BYTES_PER_MEGABYTE: f64 = 1e6;
const LINK_RATES_MEGABYTES_PER_S: [f64; 3] = [60.0, 250.0, 1_000.0];
/// Mean rate in megabytes per second, and standard deviation as a share of it, for each kind.
const TRANSFER_KINDS: [(f64, f64); 3] = [(4.0, 0.3), (8.0, 0.8), (15.0, 1.2)];
/// Largest permitted shares of overrun steps.
const MAX_OVERRUNS: [f64; 3] = [0.05, 0.01, 0.001];
/// Share of the variance that is common to all transfers of a link.
const SHARED_VARIANCE_SHARES: [f64; 2] = [0.0, 0.2];

/// Results for one rule and number of deviations over all links.
#[derive(Clone, Copy, Debug, Default)]
struct Measurement {
    /// Share of overrun steps, averaged over the links.
    overruns: f64,
    /// Share of overrun steps of the worst link.
    worst_overruns: f64,
    /// Mean number of admitted transfers, summed over the links.
    transfers: f64,
    /// Number of standard deviations that the rule keeps free.
    deviations: f64,
}

fn main() {
    let argument = std::env::args().nth(1);
    let seed = argument.and_then(|it| it.parse().ok());
    let seed = seed.unwrap_or(DEFAULT_SEED);
    println!("seed {seed}, {STEPS_COUNT} steps, links {LINK_RATES_MEGABYTES_PER_S:?} MB/s");
    println!("shared  bound on    overruns  reserved  summed  ratio  deviations     worst link");
    for shared_variance in SHARED_VARIANCE_SHARES {
        for (use_worst_link, name) in [(false, "mean link"), (true, "worst link")] {
            for max_overruns in MAX_OVERRUNS {
                print_comparison(seed, shared_variance, use_worst_link, name, max_overruns);
            }
        }
    }
}

fn print_comparison(
    seed: u64,
    shared_variance: f64,
    use_worst_link: bool,
    name: &str,
    max_overruns: f64,
) {
    let reserved = measure_at_overruns(max_overruns, use_worst_link, |deviations| {
        measure(
            seed,
            shared_variance,
            HeadroomRule::PerTransfer { deviations },
        )
    });
    let summed = measure_at_overruns(max_overruns, use_worst_link, |deviations| {
        measure(
            seed,
            shared_variance,
            HeadroomRule::Aggregate { deviations },
        )
    });
    println!(
        "{shared_variance:<6}  {name:<10}  {max_overruns:<8}  {:<8.1}  {:<6.1}  {:<5.3}  {:<5.2} / {:<5.2}  {:.4} / {:.4}",
        reserved.transfers,
        summed.transfers,
        summed.transfers / reserved.transfers,
        reserved.deviations,
        summed.deviations,
        reserved.worst_overruns,
        summed.worst_overruns,
    );
}

/// Measures at the smallest number of deviations that keeps overruns within `max_overruns`.
fn measure_at_overruns<Measure>(
    max_overruns: f64,
    use_worst_link: bool,
    measure: Measure,
) -> Measurement
where
    Measure: Fn(f64) -> Measurement,
{
    let (mut low, mut high) = (0.0, 16.0);
    let mut best = measure(high);
    for _ in 0..12 {
        let middle = f64::midpoint(low, high);
        let measurement = measure(middle);
        let overruns = if use_worst_link {
            measurement.worst_overruns
        } else {
            measurement.overruns
        };
        if overruns <= max_overruns {
            high = middle;
            best = Measurement {
                deviations: middle,
                ..measurement
            };
        } else {
            low = middle;
        }
    }
    best
}

fn measure(seed: u64, shared_variance: f64, rule: HeadroomRule) -> Measurement {
    let mut total = Measurement::default();
    let links_count = LINK_RATES_MEGABYTES_PER_S.len();
    for (index, megabytes_per_s) in LINK_RATES_MEGABYTES_PER_S.into_iter().enumerate() {
        let mut random = ChaCha8Rng::seed_from_u64(seed + index as u64);
        let budget = LinkBudget::new(megabytes_per_s * BYTES_PER_MEGABYTE, rule);
        let (overruns, transfers) = simulate_link(budget, shared_variance, &mut random);
        total.overruns += overruns / f64::from(u32::try_from(links_count).unwrap_or(1));
        total.worst_overruns = total.worst_overruns.max(overruns);
        total.transfers += transfers;
    }
    total
}

/// Returns the share of overrun steps and the mean number of transfers of one link.
fn simulate_link<Random>(
    mut budget: LinkBudget,
    shared_variance: f64,
    random: &mut Random,
) -> (f64, f64)
where
    Random: Rng,
{
    let mut transfers: Vec<TransferRate> = Vec::new();
    let (mut overruns, mut transfers_sum) = (0.0, 0.0);
    for _ in 0..STEPS_COUNT {
        transfers.retain(|rate| {
            let ends = random.random_bool(END_PROBABILITY);
            if ends {
                budget.release(*rate);
            }
            !ends
        });
        for _ in 0..ARRIVALS_PER_STEP {
            let rate = random_rate(random);
            if budget.try_admit(rate) {
                transfers.push(rate);
            }
        }
        let common = normal(random);
        let total_bytes_per_s: f64 = transfers
            .iter()
            .map(|rate| random_momentary_rate(*rate, shared_variance, common, random))
            .sum();
        overruns += f64::from(u8::from(total_bytes_per_s > budget.capacity_bytes_per_s));
        transfers_sum += f64::from(budget.transfers_count());
    }
    let steps = f64::from(STEPS_COUNT);
    (overruns / steps, transfers_sum / steps)
}

fn random_rate<Random>(random: &mut Random) -> TransferRate
where
    Random: Rng,
{
    let (mean, share) = TRANSFER_KINDS[random.random_range(0..TRANSFER_KINDS.len())];
    TransferRate {
        mean_bytes_per_s: mean * BYTES_PER_MEGABYTE,
        deviation_bytes_per_s: mean * share * BYTES_PER_MEGABYTE,
    }
}

/// Returns a gamma distributed rate with the mean and deviation of `rate`, of whose variance the
/// share `shared_variance` follows `common`.
fn random_momentary_rate<Random>(
    rate: TransferRate,
    shared_variance: f64,
    common: f64,
    random: &mut Random,
) -> f64
where
    Random: Rng,
{
    let own_deviation = rate.deviation_bytes_per_s * (1.0 - shared_variance).sqrt();
    let shape = (rate.mean_bytes_per_s / own_deviation).powi(2);
    let own = gamma(shape, random) * rate.mean_bytes_per_s / shape;
    (own + rate.deviation_bytes_per_s * shared_variance.sqrt() * common).max(0.0)
}

/// Returns a standard normal random number (Box-Muller transform).
fn normal<Random>(random: &mut Random) -> f64
where
    Random: Rng,
{
    let radius = (-2.0 * (1.0 - random.random::<f64>()).ln()).sqrt();
    radius * (std::f64::consts::TAU * random.random::<f64>()).cos()
}

/// Returns a gamma distributed random number of scale 1 (Marsaglia-Tsang method).
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
