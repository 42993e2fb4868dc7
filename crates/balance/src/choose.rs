//! Choice of one target for a call.
//!
//! There are two kinds of calls. Plain calls are short and similar, and each target gets many of
//! them; the least loaded target is chosen, so that no queue builds up at one target while another
//! is idle. Prompts belong to a session. A target that has processed the session before saves most
//! of the work, so a session stays on its target until that target is busier than random arrivals
//! explain. Comparing it with the least loaded target alone would not do: among many targets one is
//! always idle.

use crate::{Candidate, rendezvous};

/// Load, as a share of the slots, by which a session's target may always exceed the least loaded
/// target.
const SPILL_MARGIN_SHARE: f64 = 0.12;
/// Standard deviations by which the calls in flight to a session's target may exceed the mean.
/// Calls arrive at random, so the variance is about equal to the mean.
const SPILL_DEVIATIONS: f64 = 0.5;
/// Load difference, as a share of the slots, up to which targets count as equally loaded. Among
/// those, targets in the preferred failure domain are chosen.
const LOAD_TOLERANCE_SHARE: f64 = 0.02;

/// Returns the index of the candidate for a call, or `None` if there are no candidates.
///
/// `session` is the key seed of the session whose calls should stay on one target; plain calls have
/// none and go to the least loaded target. `random_number` selects among equally loaded targets.
///
/// A session goes to a target that is not much busier than the others: preferably one that holds
/// the session's prefix, otherwise one in the preferred failure domain, otherwise any. Rendezvous
/// hashing selects among several, so that the session's calls agree.
#[must_use]
pub fn choose(candidates: &[Candidate], session: Option<u64>, random_number: u64) -> Option<usize> {
    let least_loaded_index = least_loaded(candidates, random_number)?;
    let Some(session) = session else {
        return Some(least_loaded_index);
    };
    let max_load = chance_load_bound(candidates)
        .max(candidates[least_loaded_index].load() + SPILL_MARGIN_SHARE);
    let is_within_max_load = |index: &usize| candidates[*index].load() <= max_load;
    let highest_ranked = |matches: fn(&Candidate) -> bool| {
        (0..candidates.len())
            .filter(is_within_max_load)
            .filter(|index| matches(&candidates[*index]))
            .max_by_key(|index| rendezvous::score(session, candidates[*index].seed))
    };
    let with_prefix = highest_ranked(|candidate| candidate.has_session_prefix);
    let in_preferred_domain = || highest_ranked(|candidate| candidate.in_preferred_domain);
    Some(
        with_prefix
            .or_else(in_preferred_domain)
            .or_else(|| highest_ranked(|_| true))
            .unwrap_or(least_loaded_index),
    )
}

/// Returns the load that a target can reach by random variation alone.
fn chance_load_bound(candidates: &[Candidate]) -> f64 {
    #[allow(clippy::cast_precision_loss)]
    let candidates_count = candidates.len().max(1) as f64;
    let slots_count: f64 = candidates.iter().map(|it| f64::from(it.slots_count)).sum();
    let work_count: f64 = candidates.iter().map(Candidate::work_count).sum();
    // The call to be placed counts as well.
    let mean_count = work_count / candidates_count + 1.0;
    (mean_count + SPILL_DEVIATIONS * mean_count.sqrt()) * candidates_count / slots_count.max(1.0)
}

/// Returns the index of one of the least loaded candidates, in the preferred failure domain if
/// possible, or `None` if there are no candidates.
fn least_loaded(candidates: &[Candidate], random_number: u64) -> Option<usize> {
    let lowest = candidates.iter().map(Candidate::load).reduce(f64::min)?;
    let is_tied = |index: &usize| candidates[*index].load() <= lowest + LOAD_TOLERANCE_SHARE;
    let tied = (0..candidates.len()).filter(is_tied);
    let any_in_preferred_domain = tied
        .clone()
        .any(|index| candidates[index].in_preferred_domain);
    let mut preferred: Vec<usize> = tied
        .filter(|index| candidates[*index].in_preferred_domain || !any_in_preferred_domain)
        .collect();
    let preferred_count = u64::try_from(preferred.len())
        .ok()
        .filter(|preferred_count| *preferred_count > 0)?;
    let position = usize::try_from(random_number % preferred_count).ok()?;
    Some(preferred.swap_remove(position))
}
