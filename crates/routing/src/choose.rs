//! The decision itself.

use {
    crate::{
        Candidate, Choice, FilterReason, NoTargetAvailable, Policy, PromptProfile,
        RejectedCandidate,
        estimate::{compute_s, estimate, estimate_without_import, seconds},
    },
    catalog::PlacementRule,
    std::time::Duration,
};

/// When to come back if no target can be chosen and none is expected to become free.
const NO_TARGET_RETRY: Duration = Duration::from_secs(1);
/// Earliest time to come back to engines that are full.
const MIN_FULL_RETRY: Duration = Duration::from_millis(50);
/// Requests that may wait at an engine for each that it runs at once.
const QUEUED_PER_SLOT: u32 = 2;
/// Longest expected queue, in seconds, at which an engine still takes a request.
const MAX_QUEUE_S: f64 = 1.0;
/// The same as a multiple of the time to compute the request's prompt, for long prompts.
const MAX_QUEUE_PROMPTS: f64 = 2.0;
/// Scores that differ by less than this share of the best one are ties.
const TIE_SHARE: f64 = 0.01;

/// Chooses the candidate with the lowest cost under the rule's objective.
///
/// # Errors
/// [`NoTargetAvailable`] if every candidate is left out.
pub fn choose_by_cost(
    prompt: &PromptProfile,
    rule: &PlacementRule,
    candidates: &[Candidate<'_>],
) -> Result<Choice, NoTargetAvailable> {
    choose(Policy::Cost, 0, prompt, rule, candidates)
}

/// Chooses a candidate by a policy. Ties, which are common when most engines are idle, are broken
/// by `draw`: a random number, so that instances deciding at once spread their requests; for
/// [`Policy::RoundRobin`] the number of requests so far.
///
/// # Errors
/// [`NoTargetAvailable`] if every candidate is left out.
pub fn choose(
    policy: Policy,
    draw: u64,
    prompt: &PromptProfile,
    rule: &PlacementRule,
    candidates: &[Candidate<'_>],
) -> Result<Choice, NoTargetAvailable> {
    let mut rejected = Vec::new();
    let mut scored = Vec::with_capacity(candidates.len());
    for candidate in candidates {
        if let Some(reason) = filter(prompt, rule, candidate) {
            rejected.push(RejectedCandidate {
                target: candidate.target.name.clone(),
                reason,
            });
            continue;
        }
        let estimate = if policy.allows_import() {
            estimate(prompt, &rule.objective, candidate)
        } else {
            estimate_without_import(prompt, &rule.objective, candidate)
        };
        scored.push((policy.score(candidate, estimate.cost), estimate));
    }
    scored.sort_by(|left, right| {
        let by_first = left.0.0.total_cmp(&right.0.0);
        by_first.then_with(|| left.0.1.total_cmp(&right.0.1))
    });
    let Some(best) = scored.first().map(|it| it.0) else {
        return Err(refusal(rejected, candidates));
    };
    let ties_count = scored.iter().take_while(|it| is_tie(best, it.0)).count();
    let chosen = scored.remove(pick(draw, ties_count)).1;
    Ok(Choice {
        chosen,
        others: scored.into_iter().map(|it| it.1).collect(),
        rejected,
    })
}

fn is_tie(best: (f64, f64), other: (f64, f64)) -> bool {
    let near = |best: f64, other: f64| other - best <= best.abs() * TIE_SHARE;
    near(best.0, other.0) && near(best.1, other.1)
}

/// An index below `count`, which is at least 1.
pub(crate) fn pick(draw: u64, count: usize) -> usize {
    usize::try_from(draw % count.max(1) as u64).unwrap_or(0)
}

fn filter(
    prompt: &PromptProfile,
    rule: &PlacementRule,
    candidate: &Candidate<'_>,
) -> Option<FilterReason> {
    if !rule.targets.matches(&candidate.target.labels) {
        return Some(FilterReason::Selector);
    }
    if candidate.leaving || candidate.target.leaving {
        return Some(FilterReason::Leaving);
    }
    if !candidate.reachable {
        return Some(FilterReason::Unreachable);
    }
    if !candidate.has_version && candidate.weights_load_time.is_zero() {
        return Some(FilterReason::Version);
    }
    is_full(prompt, candidate).then_some(FilterReason::Full)
}

/// Whether the engine's queue is so long that the request had better come back later.
fn is_full(prompt: &PromptProfile, candidate: &Candidate<'_>) -> bool {
    let slots_count = candidate.target.max_running_count.max(1);
    let prompt_s = compute_s(prompt, candidate, 0);
    candidate.load.queued_count >= slots_count.saturating_mul(QUEUED_PER_SLOT)
        || candidate.queue_wait_s() > MAX_QUEUE_S.max(MAX_QUEUE_PROMPTS * prompt_s)
}

/// The refusal, with the time when the first of the full engines is expected to have room.
fn refusal(rejected: Vec<RejectedCandidate>, candidates: &[Candidate<'_>]) -> NoTargetAvailable {
    let is_waiting = |candidate: &&Candidate<'_>| {
        let name = &candidate.target.name;
        rejected
            .iter()
            .any(|it| it.target == *name && it.reason == FilterReason::Full)
    };
    let soonest_s = candidates
        .iter()
        .filter(is_waiting)
        .map(Candidate::queue_wait_s)
        .min_by(f64::total_cmp);
    let retry_after = soonest_s.map_or(NO_TARGET_RETRY, |soonest_s| {
        seconds(soonest_s).max(MIN_FULL_RETRY)
    });
    NoTargetAvailable {
        rejected,
        retry_after,
    }
}
