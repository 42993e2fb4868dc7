//! Results of a run.

use {
    crate::{condition::Condition, run::Run, visitor::Visited},
    standin::End,
    std::{fmt, time::Duration},
};

/// Duration from which a visit counts as stuck, whatever its end.
const STUCK_AFTER: Duration = Duration::from_secs(15);

/// One measured visit.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Prompt tokens that some engine had already computed before the visit.
    pub known_tokens: u64,
    pub visited: Visited,
}

/// Results of a run.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub deployment: &'static str,
    pub policy: String,
    pub condition: Condition,
    pub visits_count: usize,
    /// Time to first token in milliseconds: p50, p95, p99.
    pub first_token_ms: [f64; 3],
    /// Share of all prompt tokens that were computed again.
    pub recomputed_share: f64,
    pub link_bytes: u64,
    /// Number of refused attempts.
    pub refused_count: u32,
    /// Complete answers per second.
    pub answers_per_s: f64,
    /// Number of visits that got no complete answer after all attempts, or were stuck.
    pub lost_count: usize,
}

impl Outcome {
    /// Summarizes the visits of a run.
    pub fn new(run: &Run<'_>, samples: &[Sample], link_bytes: u64, duration: Duration) -> Self {
        let whole: Vec<&Sample> = samples.iter().filter(|it| is_complete(it)).collect();
        let mut first: Vec<Duration> = samples
            .iter()
            .filter_map(|it| it.visited.first_token)
            .collect();
        first.sort_unstable();
        for lost in samples.iter().filter(|it| !is_complete(it)) {
            let visited = &lost.visited;
            eprintln!("lost: {:?} {} {visited:?}", visited.end, visited.error);
        }
        Self {
            deployment: run.deployment.name,
            policy: run.policy.to_owned(),
            condition: run.condition,
            visits_count: samples.len(),
            first_token_ms: [0.5, 0.95, 0.99].map(|share| percentile_ms(&first, share)),
            recomputed_share: recomputed_share(&whole),
            link_bytes,
            refused_count: samples.iter().map(|it| it.visited.refused_count).sum(),
            answers_per_s: as_f64(whole.len()) / duration.as_secs_f64(),
            lost_count: samples.len() - whole.len(),
        }
    }
}

fn is_complete(sample: &Sample) -> bool {
    sample.visited.end == End::Whole && sample.visited.total < STUCK_AFTER
}

#[allow(clippy::cast_precision_loss)]
fn recomputed_share(samples: &[&Sample]) -> f64 {
    let recomputed = samples
        .iter()
        .map(|it| it.known_tokens.saturating_sub(it.visited.cached_tokens));
    let prompt: u64 = samples.iter().map(|it| it.visited.prompt_tokens).sum();
    recomputed.sum::<u64>() as f64 / prompt.max(1) as f64
}

/// The value below which `share` of the sorted times lie, in milliseconds.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
pub fn percentile_ms(sorted: &[Duration], share: f64) -> f64 {
    let rank = (as_f64(sorted.len()) * share).ceil() as usize;
    let value = sorted.get(rank.saturating_sub(1));
    value.map_or(f64::NAN, |it| it.as_secs_f64() * 1_000.0)
}

#[allow(clippy::cast_precision_loss)]
pub fn as_f64(count: usize) -> f64 {
    count as f64
}

impl fmt::Display for Outcome {
    #[allow(clippy::cast_precision_loss)]
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [p50, p95, p99] = self.first_token_ms;
        write!(
            formatter,
            "{:<13}{:<15}{:<16}{:>6}{p50:>8.0}{p95:>8.0}{p99:>8.0}{:>9.3}{:>9.1}{:>9}{:>9.1}{:>6}",
            self.deployment,
            self.policy,
            self.condition,
            self.visits_count,
            self.recomputed_share,
            self.link_bytes as f64 / 1e6,
            self.refused_count,
            self.answers_per_s,
            self.lost_count,
        )
    }
}
