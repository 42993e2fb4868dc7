//! The choice of one target.
//!
//! Answers two loads. Plain calls: short, alike, many for each target; the least loaded wins, so
//! that no queue builds up before one target while another is idle. Prompts of a session: a target
//! that has read the session before saves most of the work, so a session stays on its target until
//! that one has more to do than chance gives to a usual one. The least busy one alone is no measure: of
//! many targets one is always idle.

use crate::{Candidate, rendezvous};

/// Share of the slots by which a session's target may be busier than the least busy one.
const SPILL_MARGIN_SHARE: f64 = 0.12;
/// Standard deviations by which a session's target may have more calls than the mean; calls arrive
/// by chance, so their variance is about the mean.
const SPILL_DEVIATIONS: f64 = 0.5;
/// Loads closer than this count as equal; the near target is then taken.
const EQUAL_LOAD_SHARE: f64 = 0.02;

/// Index of the candidate for a call; none without candidates. `session` is the seed of the key
/// whose calls should stay together, `draw` a random number.
#[must_use]
pub fn choose(candidates: &[Candidate], session: Option<u64>, draw: u64) -> Option<usize> {
    let least = least_loaded(candidates, draw)?;
    let Some(session) = session else {
        return Some(least);
    };
    let bound = usual_load(candidates).max(candidates[least].load() + SPILL_MARGIN_SHARE);
    let within = |index: &usize| candidates[*index].load() <= bound;
    let owner = |suits: fn(&Candidate) -> bool| {
        (0..candidates.len())
            .filter(within)
            .filter(|index| suits(&candidates[*index]))
            .max_by_key(|index| rendezvous::score(session, candidates[*index].seed))
    };
    let keeper = owner(|candidate| candidate.has_session_prefix);
    let near = || owner(|candidate| candidate.in_preferred_domain);
    Some(
        keeper
            .or_else(near)
            .or_else(|| owner(|_| true))
            .unwrap_or(least),
    )
}

/// Load that a target may have by chance.
fn usual_load(candidates: &[Candidate]) -> f64 {
    #[allow(clippy::cast_precision_loss)]
    let count = candidates.len().max(1) as f64;
    let slots: f64 = candidates.iter().map(|it| f64::from(it.slots_count)).sum();
    let in_flight: f64 = candidates.iter().map(|it| it.in_flight_count).sum();
    // With the call that is to be placed.
    let mean_count = in_flight / count + 1.0;
    (mean_count + SPILL_DEVIATIONS * mean_count.sqrt()) * count / slots.max(1.0)
}

fn least_loaded(candidates: &[Candidate], draw: u64) -> Option<usize> {
    let lowest = candidates.iter().map(Candidate::load).reduce(f64::min)?;
    let alike = |index: &usize| candidates[*index].load() <= lowest + EQUAL_LOAD_SHARE;
    let near = (0..candidates.len()).filter(alike);
    let has_near = near
        .clone()
        .any(|index| candidates[index].in_preferred_domain);
    let mut picked: Vec<usize> = near
        .filter(|index| candidates[*index].in_preferred_domain || !has_near)
        .collect();
    let count = u64::try_from(picked.len())
        .ok()
        .filter(|count| *count > 0)?;
    let position = usize::try_from(draw % count).ok()?;
    Some(picked.swap_remove(position))
}
