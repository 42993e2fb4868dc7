//! Measures whether goodput holds and retries stay bounded when the load exceeds the capacity.

use {
    crate::{
        Failure,
        deployment::{Deployment, PIECE_TOKENS},
        outcome::{as_f64, percentile_ms},
        test_system::{TestSystem, account_key},
        visitor::{Visited, Visitor},
    },
    standin::End,
    std::{path::Path, sync::Arc, time::Duration},
    tokio::{task::JoinSet, time::sleep_until},
};

/// Offered loads, as multiples of the capacity for new prompts.
const LOAD_FACTORS: [u32; 3] = [1, 2, 5];
const ENGINES_COUNT: usize = 4;
const DURATION_S: u32 = 6;
/// Longest time to first token of answers that count as goodput.
const MAX_GOOD_FIRST_TOKEN: Duration = Duration::from_secs(2);

/// Measurements at one offered load.
#[derive(Clone, Debug)]
pub struct LoadResult {
    pub factor: u32,
    pub offered_per_s: f64,
    /// Complete answers per second with a first token in time.
    pub good_per_s: f64,
    /// Time to first token of complete answers, p95 in milliseconds.
    pub first_token_p95_ms: f64,
    pub refused_count: usize,
    /// Time until a refusal was received, p95 in milliseconds.
    pub refusal_p95_ms: f64,
    /// Number of requests neither answered nor refused.
    pub lost_count: usize,
    /// Number of runs on engines per offered request.
    pub runs_per_request: f64,
}

/// Sends new prompts at each multiple of the capacity.
pub async fn measure(
    binary: &Path,
    deployment: &Deployment,
    seed: u64,
) -> Result<Vec<LoadResult>, Failure> {
    let deployment = Deployment {
        engines_count: ENGINES_COUNT,
        ..deployment.clone()
    };
    let mut results = Vec::new();
    for factor in LOAD_FACTORS {
        results.push(measure_load(binary, &deployment, seed, factor).await?);
    }
    Ok(results)
}

async fn measure_load(
    binary: &Path,
    deployment: &Deployment,
    seed: u64,
    factor: u32,
) -> Result<LoadResult, Failure> {
    let system = TestSystem::start(binary, deployment, "cost").await?;
    let initial_entries: Vec<_> = system.entries.iter().map(|entry| entry.address).collect();
    let offered_per_s = capacity_per_s(deployment) * f64::from(factor);
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let count = (offered_per_s * f64::from(DURATION_S)) as usize;
    let deployment = Deployment {
        prompts_count: count,
        rounds_count: 0,
        arrivals_per_s: offered_per_s,
        ..deployment.clone()
    };
    let visitors: Vec<Arc<Visitor>> = (0..deployment.accounts_count)
        .map(|account| Arc::new(Visitor::new(&account_key(account), initial_entries.clone())))
        .collect();
    let before_count = system.runs_count();
    let visited = send(&deployment, seed, &visitors).await;
    let runs_count = system.runs_count() - before_count;
    Ok(LoadResult::new(factor, offered_per_s, &visited, runs_count))
}

/// Requests per second that the engines can compute without any cached prefix.
#[allow(clippy::cast_precision_loss)]
fn capacity_per_s(deployment: &Deployment) -> f64 {
    let tail_tokens = deployment.tail_bytes as u64 / 4;
    let tokens = deployment.pieces_count() as u64 * PIECE_TOKENS + tail_tokens;
    let tokens_per_s = deployment.engines_count as u64 * deployment.prefill_tokens_per_s;
    tokens_per_s as f64 / tokens as f64
}

async fn send(deployment: &Deployment, seed: u64, visitors: &[Arc<Visitor>]) -> Vec<Visited> {
    let origin = tokio::time::Instant::now();
    let mut tasks = JoinSet::new();
    for planned in deployment.visits(seed) {
        let deployment = deployment.clone();
        let visitor = Arc::clone(&visitors[deployment.account(planned.prompt)]);
        tasks.spawn(async move {
            sleep_until(origin + planned.at).await;
            let text = deployment.text(&planned);
            let answer_tokens = deployment.answer_tokens;
            visitor
                .visit(deployment.model, &text, answer_tokens, 1)
                .await
        });
    }
    tasks.join_all().await
}

impl LoadResult {
    fn new(factor: u32, offered_per_s: f64, visited: &[Visited], runs_count: usize) -> Self {
        let whole = visited.iter().filter(|it| it.end == End::Whole);
        let mut first: Vec<Duration> = whole.filter_map(|it| it.first_token).collect();
        first.sort_unstable();
        let refused = visited.iter().filter(|it| it.end == End::Refused);
        let mut refusals: Vec<Duration> = refused.map(|it| it.total).collect();
        refusals.sort_unstable();
        let good_count = first
            .iter()
            .filter(|it| **it <= MAX_GOOD_FIRST_TOKEN)
            .count();
        Self {
            factor,
            offered_per_s,
            good_per_s: as_f64(good_count) / f64::from(DURATION_S),
            first_token_p95_ms: percentile_ms(&first, 0.95),
            refused_count: refusals.len(),
            refusal_p95_ms: percentile_ms(&refusals, 0.95),
            lost_count: visited.iter().filter(|it| it.end == End::Broken).count(),
            runs_per_request: as_f64(runs_count) / as_f64(visited.len()),
        }
    }

    /// Formats the measurements as a row of the CSV file.
    pub fn csv(&self) -> String {
        format!(
            "overload,cost,{}x capacity,{:.0},,{:.1},,,,{},{:.2},{}",
            self.factor,
            self.offered_per_s * f64::from(DURATION_S),
            self.first_token_p95_ms,
            self.refused_count,
            self.good_per_s,
            self.lost_count,
        )
    }
}

/// Prints the measurements at all loads.
pub fn print(results: &[LoadResult]) {
    println!(
        "\noffered load (multiples of what {ENGINES_COUNT} engines compute; all prompts new; \
         refused callers stay away)"
    );
    println!("load  offered/s  good/s  p95 ms  refused  refusal p95 ms  lost  runs/request");
    for it in results {
        println!(
            "{:>3}x  {:>9.1}  {:>6.1}  {:>6.0}  {:>7}  {:>14.0}  {:>4}  {:>12.2}",
            it.factor,
            it.offered_per_s,
            it.good_per_s,
            it.first_token_p95_ms,
            it.refused_count,
            it.refusal_p95_ms,
            it.lost_count,
            it.runs_per_request,
        );
    }
}
