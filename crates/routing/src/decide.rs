//! The decision itself.

use {
    crate::{Candidate, Choice, Estimate, FilterReason, Refusal, Rejected, Source},
    catalog::PlacementRule,
    std::time::Duration,
};

/// When to come back if no target can be chosen.
const NO_TARGET_RETRY: Duration = Duration::from_secs(1);
/// Bytes in a mebibyte.
const MEBIBYTE_BYTES: f64 = 1_048_576.0;
/// Tokens in a kilotoken.
const KILOTOKEN_TOKENS: f64 = 1_000.0;

/// What is known of the request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Job {
    /// Tokens of the whole prompt.
    pub prompt_tokens: u64,
    /// Prompt tokens in one block.
    pub block_tokens: u64,
    /// Size of one block in bytes.
    pub block_bytes: u64,
    /// Leading blocks that were computed before, here or elsewhere.
    pub seen_blocks: usize,
}

/// Chooses the candidate with the lowest cost under the rule's objective.
///
/// # Errors
/// [`Refusal`] if every candidate is left out.
pub fn decide(
    job: &Job,
    rule: &PlacementRule,
    candidates: &[Candidate<'_>],
) -> Result<Choice, Refusal> {
    let mut rejected = Vec::new();
    let mut estimates = Vec::new();
    for candidate in candidates {
        match filter(rule, candidate) {
            Some(reason) => rejected.push(Rejected {
                target: candidate.target.name.clone(),
                reason,
            }),
            None => estimates.push(estimate(job, rule, candidate)),
        }
    }
    estimates.sort_by(|left, right| left.cost.total_cmp(&right.cost));
    let mut estimates = estimates.into_iter();
    match estimates.next() {
        Some(chosen) => Ok(Choice {
            chosen,
            others: estimates.collect(),
            rejected,
        }),
        None => Err(Refusal {
            rejected,
            retry_after: NO_TARGET_RETRY,
        }),
    }
}

fn filter(rule: &PlacementRule, candidate: &Candidate<'_>) -> Option<FilterReason> {
    if !rule.targets.matches(&candidate.target.labels) {
        return Some(FilterReason::Selector);
    }
    if candidate.leaving {
        return Some(FilterReason::Leaving);
    }
    if !candidate.reachable {
        return Some(FilterReason::Unreachable);
    }
    (!candidate.has_version).then_some(FilterReason::Version)
}

#[allow(clippy::cast_precision_loss)]
fn estimate(job: &Job, rule: &PlacementRule, candidate: &Candidate<'_>) -> Estimate {
    let memory_blocks = candidate.memory_blocks;
    let import_blocks = candidate.import_blocks.saturating_sub(memory_blocks);
    let import_bytes = import_blocks as u64 * job.block_bytes;
    let import_s =
        (import_bytes + candidate.link_queued_bytes) as f64 / candidate.link_bytes_per_s.max(1.0);
    let import_tokens = import_blocks as u64 * job.block_tokens;
    let compute_s = import_tokens as f64 / candidate.prefill_tokens_per_s.max(1.0);
    let from_store = import_blocks > 0 && import_s < compute_s;
    let had_blocks = if from_store {
        candidate.import_blocks
    } else {
        memory_blocks
    };
    let computed_tokens = job
        .prompt_tokens
        .saturating_sub(had_blocks as u64 * job.block_tokens);
    let recomputed_tokens = job.seen_blocks.saturating_sub(had_blocks) as u64 * job.block_tokens;
    let link_bytes = if from_store { import_bytes } else { 0 };
    let queue_s = candidate.load.queued_tokens as f64 / candidate.prefill_tokens_per_s.max(1.0);
    let first_token_s = queue_s
        + if from_store { import_s } else { 0.0 }
        + computed_tokens as f64 / candidate.prefill_tokens_per_s.max(1.0);
    let objective = &rule.objective;
    Estimate {
        target: candidate.target.name.clone(),
        source: match (from_store, memory_blocks) {
            (true, _) => Source::Import,
            (false, 1..) => Source::Memory,
            (false, 0) => Source::Recompute,
        },
        first_token: Duration::from_secs_f64(first_token_s),
        recomputed_tokens,
        link_bytes,
        cost: objective.first_token_cost_per_s * first_token_s
            + objective.recompute_cost_per_kilotoken * recomputed_tokens as f64 / KILOTOKEN_TOKENS
            + objective.link_cost_per_mebibyte * link_bytes as f64 / MEBIBYTE_BYTES,
        import_blocks: if from_store { import_blocks } else { 0 },
    }
}
