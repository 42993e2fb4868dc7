//! Choice of a target for a prompt.

use {
    crate::{
        Candidate, Choice, FilterReason, NoTargetAvailable, Policy, PromptProfile,
        RejectedCandidate,
        estimate::{compute_s, estimate, estimate_without_import, saturating_duration},
    },
    catalog::PlacementRule,
    std::time::Duration,
};

/// Retry delay if every candidate is rejected, none of them because it is full.
const NO_TARGET_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Shortest retry delay if a candidate is rejected because it is full.
const MIN_FULL_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Number of queued requests for each of its slots at which an engine is full.
const MAX_QUEUED_PER_SLOT: u32 = 2;
/// Longest expected queue wait, in seconds, at which an engine still takes a request with a short
/// prompt.
const MAX_QUEUE_WAIT_S: f64 = 1.0;
/// The same limit for long prompts, as a multiple of the time to compute the prompt.
const MAX_QUEUE_PROMPT_FACTOR: f64 = 2.0;
/// Scores are ties if each element exceeds that of the best score by at most this fraction.
const TIE_TOLERANCE: f64 = 0.01;

/// Chooses the candidate with the lowest [cost](crate::Estimate::cost) under the placement rule's
/// objective, without a tie breaker.
///
/// Same as [`choose`] with [`Policy::Cost`] and a `tie_breaker` of 0.
///
/// # Errors
/// [`NoTargetAvailable`] if every candidate is rejected.
pub fn choose_by_cost(
    prompt: &PromptProfile,
    rule: &PlacementRule,
    candidates: &[Candidate<'_>],
) -> Result<Choice, NoTargetAvailable> {
    choose(Policy::Cost, 0, prompt, rule, candidates)
}

/// Chooses a candidate by a policy.
///
/// `tie_breaker` selects among tied candidates; ties are common when most engines are idle. It
/// should be a counter with a random start: instances that choose at the same time then spread
/// their requests, and [`Policy::RoundRobin`], for which all candidates tie, takes them in turn.
///
/// # Errors
/// [`NoTargetAvailable`] if every candidate is rejected.
pub fn choose(
    policy: Policy,
    tie_breaker: u64,
    prompt: &PromptProfile,
    rule: &PlacementRule,
    candidates: &[Candidate<'_>],
) -> Result<Choice, NoTargetAvailable> {
    let mut rejected = Vec::new();
    // The policy's score of each accepted candidate, with the estimate.
    let mut scored = Vec::with_capacity(candidates.len());
    for candidate in candidates {
        if let Some(reason) = rejection_reason(prompt, rule, candidate) {
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
        let by_first_score = left.0.0.total_cmp(&right.0.0);
        by_first_score.then_with(|| left.0.1.total_cmp(&right.0.1))
    });
    let Some(best_score) = scored.first().map(|it| it.0) else {
        return Err(no_target_error(rejected, candidates));
    };
    let ties_count = scored
        .iter()
        .take_while(|it| is_tie(best_score, it.0))
        .count();
    let chosen = scored.remove(pick_index(tie_breaker, ties_count)).1;
    Ok(Choice {
        chosen,
        others: scored.into_iter().map(|it| it.1).collect(),
        rejected,
    })
}

/// Returns whether both elements of a score are within the tolerance of the best score's.
fn is_tie(best: (f64, f64), other: (f64, f64)) -> bool {
    let within_tolerance = |best: f64, other: f64| other - best <= best.abs() * TIE_TOLERANCE;
    within_tolerance(best.0, other.0) && within_tolerance(best.1, other.1)
}

/// Returns `tie_breaker` modulo `count`: an index below `count`, or 0 if `count` is 0.
pub(crate) fn pick_index(tie_breaker: u64, count: usize) -> usize {
    usize::try_from(tie_breaker % count.max(1) as u64).unwrap_or(0)
}

/// Returns the first reason why the candidate cannot take the request, or `None` if it can.
fn rejection_reason(
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
    // A load time of zero means that the engine must not load the requested weights.
    if !candidate.has_version && candidate.weights_load_time.is_zero() {
        return Some(FilterReason::Version);
    }
    is_full(prompt, candidate).then_some(FilterReason::Full)
}

/// Returns whether the engine's queue is too long to add this request, either in requests per slot
/// or in expected wait.
fn is_full(prompt: &PromptProfile, candidate: &Candidate<'_>) -> bool {
    let slots_count = candidate.target.max_running_count.max(1);
    let prompt_s = compute_s(prompt, candidate, 0);
    candidate.load.queued_count >= slots_count.saturating_mul(MAX_QUEUED_PER_SLOT)
        || candidate.queue_wait_s() > MAX_QUEUE_WAIT_S.max(MAX_QUEUE_PROMPT_FACTOR * prompt_s)
}

/// Returns the error for a request whose candidates were all rejected. The retry delay is the
/// shortest queue wait of the full engines, but at least 50 ms, or 1 s if no engine was full.
fn no_target_error(
    rejected: Vec<RejectedCandidate>,
    candidates: &[Candidate<'_>],
) -> NoTargetAvailable {
    let was_full = |candidate: &&Candidate<'_>| {
        let name = &candidate.target.name;
        rejected
            .iter()
            .any(|it| it.target == *name && it.reason == FilterReason::Full)
    };
    let shortest_wait_s = candidates
        .iter()
        .filter(was_full)
        .map(Candidate::queue_wait_s)
        .min_by(f64::total_cmp);
    let retry_after = shortest_wait_s.map_or(NO_TARGET_RETRY_DELAY, |shortest_wait_s| {
        saturating_duration(shortest_wait_s).max(MIN_FULL_RETRY_DELAY)
    });
    NoTargetAvailable {
        rejected,
        retry_after,
    }
}
