//! Choice of a target for a plain service.

use {
    crate::{FilterReason, NoTargetAvailable, RejectedCandidate, choose::pick},
    catalog::{PlacementRule, Target},
    std::time::Duration,
};

/// When to come back if every target of the service is left out.
const NO_TARGET_RETRY: Duration = Duration::from_secs(1);

/// One target of a plain service.
#[derive(Clone, Copy, Debug)]
pub struct ServiceCandidate<'a> {
    /// The target as configured.
    pub target: &'a Target,
    /// Whether the instance list, the catalog or the target itself says that it leaves.
    pub leaving: bool,
    /// Whether connections to the target work.
    pub reachable: bool,
    /// Calls of this instance that are under way there.
    pub in_flight_count: u32,
}

/// Chooses the target of a plain service with the fewest calls under way for each that it runs at
/// once; `draw`, a random number, chooses among equals.
///
/// # Errors
/// [`NoTargetAvailable`] if every target is left out.
pub fn choose_service_target<'a>(
    rule: &PlacementRule,
    candidates: &[ServiceCandidate<'a>],
    draw: u64,
) -> Result<&'a Target, NoTargetAvailable> {
    let mut rejected = Vec::new();
    let mut best: Vec<&ServiceCandidate<'a>> = Vec::new();
    for candidate in candidates {
        if let Some(reason) = filter(rule, candidate) {
            let target = candidate.target.name.clone();
            rejected.push(RejectedCandidate { target, reason });
            continue;
        }
        let difference = best.first().map(|it| compare(candidate, it));
        if difference.is_none_or(std::cmp::Ordering::is_lt) {
            best.clear();
        }
        if difference.is_none_or(std::cmp::Ordering::is_le) {
            best.push(candidate);
        }
    }
    let chosen = best.get(pick(draw, best.len()));
    chosen.map(|it| it.target).ok_or(NoTargetAvailable {
        rejected,
        retry_after: NO_TARGET_RETRY,
    })
}

fn compare(left: &ServiceCandidate<'_>, right: &ServiceCandidate<'_>) -> std::cmp::Ordering {
    let weighted = |this: &ServiceCandidate<'_>, other: &ServiceCandidate<'_>| {
        u64::from(this.in_flight_count) * u64::from(other.target.max_running_count.max(1))
    };
    weighted(left, right).cmp(&weighted(right, left))
}

fn filter(rule: &PlacementRule, candidate: &ServiceCandidate<'_>) -> Option<FilterReason> {
    if !rule.targets.matches(&candidate.target.labels) {
        return Some(FilterReason::Selector);
    }
    if candidate.leaving || candidate.target.leaving {
        return Some(FilterReason::Leaving);
    }
    if !candidate.reachable {
        return Some(FilterReason::Unreachable);
    }
    let is_full = candidate.in_flight_count >= candidate.target.max_running_count.max(1);
    is_full.then_some(FilterReason::Full)
}
