//! Runs one workload under one condition.

use {
    crate::{
        Failure,
        condition::Condition,
        deployment::{Deployment, PIECE_TOKENS, PlannedVisit},
        outcome::{Outcome, Sample},
        test_system::{TestSystem, account_key},
        visitor::Visitor,
    },
    standin::End,
    std::{
        cmp::Reverse,
        collections::HashSet,
        env,
        path::Path,
        sync::{Arc, Mutex, PoisonError},
        time::{Duration, Instant},
    },
    tokio::{task::JoinSet, time::sleep_until},
};

/// Delay before each of the two parts of the workload: the first round and the measured rounds.
const START_DELAY: Duration = Duration::from_millis(500);
/// Environment variable that, if set, has the slowest visits explained.
const EXPLAIN_VARIABLE: &str = "MEASURE_EXPLAIN";
/// Number of visits to explain.
const EXPLAINED_VISITS_COUNT: usize = 10;
/// Most attempts of one visit.
const ATTEMPTS_COUNT: usize = 6;

/// Settings of a run.
#[derive(Clone, Copy, Debug)]
pub struct Run<'a> {
    pub binary: &'a Path,
    pub deployment: &'a Deployment,
    pub policy: &'a str,
    pub condition: Condition,
    pub seed: u64,
}

/// Pieces that some engine has computed, by account or prompt and position.
type ComputedPieces = Arc<Mutex<HashSet<(bool, usize, usize)>>>;

/// Runs the workload and summarizes the measured rounds.
pub async fn run(settings: &Run<'_>) -> Result<Outcome, Failure> {
    let deployment = settings.deployment;
    let mut system = TestSystem::start(settings.binary, deployment, settings.policy).await?;
    let initial_entries: Vec<_> = system.entries.iter().map(|entry| entry.address).collect();
    let visitors: Vec<Arc<Visitor>> = (0..deployment.accounts_count)
        .map(|account| Arc::new(Visitor::new(&account_key(account), initial_entries.clone())))
        .collect();
    let visits = deployment.visits(settings.seed);
    let (first, measured) = visits.split_at(deployment.prompts_count);
    let computed = ComputedPieces::default();
    send(deployment, first, &visitors, &computed, START_DELAY).await;
    let link_bytes = system.link_bytes();
    settings.condition.inject(&mut system, deployment).await?;
    let started_at = Instant::now();
    let samples = send(deployment, measured, &visitors, &computed, START_DELAY).await;
    let took = started_at.elapsed().saturating_sub(START_DELAY);
    if env::var_os(EXPLAIN_VARIABLE).is_some() {
        explain_slowest(&system, &samples).await;
    }
    let moved_bytes = system.link_bytes() - link_bytes;
    Ok(Outcome::new(settings, &samples, moved_bytes, took))
}

/// Prints the explanations of the routing decisions of the slowest visits.
async fn explain_slowest(system: &TestSystem, samples: &[Sample]) {
    let mut slowest: Vec<&Sample> = samples.iter().collect();
    slowest.sort_by_key(|it| Reverse(it.visited.first_token));
    let step = (samples.len() / 100).max(1);
    for sample in slowest
        .iter()
        .take(EXPLAINED_VISITS_COUNT * step)
        .step_by(step)
    {
        let visited = &sample.visited;
        eprintln!(
            "{:?}, {} of {} known tokens cached",
            visited.first_token, visited.cached_tokens, sample.known_tokens
        );
        let explanation = system.explain(&visited.request).await;
        eprintln!("{}", explanation.unwrap_or_default());
    }
}

/// Sends the visits at their planned times, the first one after `pause`, and waits for all of them.
async fn send(
    deployment: &Deployment,
    visits: &[PlannedVisit],
    visitors: &[Arc<Visitor>],
    computed: &ComputedPieces,
    pause: Duration,
) -> Vec<Sample> {
    let first_at = visits.first().map_or(Duration::ZERO, |visit| visit.at);
    let origin = tokio::time::Instant::now() + pause;
    let mut tasks = JoinSet::new();
    for planned in visits {
        let planned = *planned;
        let deployment = deployment.clone();
        let visitor = Arc::clone(&visitors[deployment.account(planned.prompt)]);
        let computed = Arc::clone(computed);
        tasks.spawn(async move {
            let text = deployment.text(&planned);
            sleep_until(origin + planned.at.saturating_sub(first_at)).await;
            visit(&deployment, &planned, &text, &visitor, &computed).await
        });
    }
    tasks.join_all().await
}

async fn visit(
    deployment: &Deployment,
    planned: &PlannedVisit,
    text: &str,
    visitor: &Visitor,
    computed: &ComputedPieces,
) -> Sample {
    let pieces = pieces(deployment, planned);
    let known_tokens = {
        let computed = computed.lock().unwrap_or_else(PoisonError::into_inner);
        let count = pieces.iter().take_while(|piece| computed.contains(*piece));
        count.count() as u64 * PIECE_TOKENS
    };
    let visited = visitor
        .visit(
            deployment.model,
            text,
            deployment.answer_tokens,
            ATTEMPTS_COUNT,
        )
        .await;
    if visited.end == End::Whole {
        let mut computed = computed.lock().unwrap_or_else(PoisonError::into_inner);
        computed.extend(pieces);
    }
    Sample {
        known_tokens,
        visited,
    }
}

/// The pieces of a prompt: whether shared, account or prompt, position.
fn pieces(deployment: &Deployment, planned: &PlannedVisit) -> Vec<(bool, usize, usize)> {
    let account = deployment.account(planned.prompt);
    let shared = (0..deployment.shared_pieces).map(|piece| (true, account, piece));
    let own = (0..deployment.own_pieces).map(|piece| (false, planned.prompt, piece));
    shared.chain(own).collect()
}
