//! Choice of a target for a plain service.

use {
    crate::{FilterReason, NoTargetAvailable, RejectedCandidate, choose::pick_index},
    catalog::{PlacementRule, Target},
    std::time::Duration,
};

/// Retry delay if every target of the service is rejected.
const NO_TARGET_RETRY_DELAY: Duration = Duration::from_secs(1);

/// A target of a plain service.
#[derive(Clone, Copy, Debug)]
pub struct ServiceCandidate<'a> {
    /// The target as configured.
    pub target: &'a Target,
    /// Whether the instance list, the catalog or the target itself marks it as leaving. The
    /// catalog's mark, `target.leaving`, also counts if this is not set.
    pub leaving: bool,
    /// Whether the target accepts connections.
    pub reachable: bool,
    /// Number of this instance's calls in flight to the target.
    pub in_flight_count: u32,
}

/// Chooses the target of a plain service with the fewest calls in flight per slot.
///
/// `tie_breaker`, a random number, selects among equally loaded targets.
///
/// # Errors
/// [`NoTargetAvailable`] if every target is rejected.
pub fn choose_service_target<'a>(
    rule: &PlacementRule,
    candidates: &[ServiceCandidate<'a>],
    tie_breaker: u64,
) -> Result<&'a Target, NoTargetAvailable> {
    let mut rejected = Vec::new();
    let mut least_loaded: Vec<&ServiceCandidate<'a>> = Vec::new();
    for candidate in candidates {
        if let Some(reason) = rejection_reason(rule, candidate) {
            let target = candidate.target.name.clone();
            rejected.push(RejectedCandidate { target, reason });
            continue;
        }
        let ordering = least_loaded.first().map(|it| compare_load(candidate, it));
        if ordering.is_none_or(std::cmp::Ordering::is_lt) {
            least_loaded.clear();
        }
        if ordering.is_none_or(std::cmp::Ordering::is_le) {
            least_loaded.push(candidate);
        }
    }
    let chosen = least_loaded.get(pick_index(tie_breaker, least_loaded.len()));
    chosen.map(|it| it.target).ok_or(NoTargetAvailable {
        rejected,
        retry_after: NO_TARGET_RETRY_DELAY,
    })
}

/// Compares the calls in flight per slot, by cross-multiplication to avoid a division.
fn compare_load(left: &ServiceCandidate<'_>, right: &ServiceCandidate<'_>) -> std::cmp::Ordering {
    let scaled_count = |this: &ServiceCandidate<'_>, other: &ServiceCandidate<'_>| {
        u64::from(this.in_flight_count) * u64::from(other.target.max_running_count.max(1))
    };
    scaled_count(left, right).cmp(&scaled_count(right, left))
}

/// Returns the first reason why the target cannot take a call, or `None` if it can.
fn rejection_reason(
    rule: &PlacementRule,
    candidate: &ServiceCandidate<'_>,
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
    let is_full = candidate.in_flight_count >= candidate.target.max_running_count.max(1);
    is_full.then_some(FilterReason::Full)
}
