//! The choice of one target.
//!
//! Answers two loads. Plain calls: short, alike, many for each target; the least loaded wins, so
//! that no queue builds up before one target while another is idle. Prompts of a session: a target
//! that has read the session before saves most of the work, so a session stays on its target until
//! that one has far more to do than others.

use crate::{Candidate, rendezvous};

/// Share of the slots by which a session's target may be busier than the least busy one.
const SPILL_MARGIN_SHARE: f64 = 0.12;
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
    let bound = candidates[least].load() + SPILL_MARGIN_SHARE;
    let within = |index: &usize| candidates[*index].load() <= bound;
    let owner = |suits: fn(&Candidate) -> bool| {
        (0..candidates.len())
            .filter(within)
            .filter(|index| suits(&candidates[*index]))
            .max_by_key(|index| rendezvous::score(session, candidates[*index].seed))
    };
    let keeper = owner(|candidate| candidate.keeps);
    let near = || owner(|candidate| candidate.near);
    Some(
        keeper
            .or_else(near)
            .or_else(|| owner(|_| true))
            .unwrap_or(least),
    )
}

fn least_loaded(candidates: &[Candidate], draw: u64) -> Option<usize> {
    let lowest = candidates.iter().map(Candidate::load).reduce(f64::min)?;
    let alike = |index: &usize| candidates[*index].load() <= lowest + EQUAL_LOAD_SHARE;
    let near = (0..candidates.len()).filter(alike);
    let has_near = near.clone().any(|index| candidates[index].near);
    let mut picked: Vec<usize> = near
        .filter(|index| candidates[*index].near || !has_near)
        .collect();
    let count = u64::try_from(picked.len())
        .ok()
        .filter(|count| *count > 0)?;
    let position = usize::try_from(draw % count).ok()?;
    Some(picked.swap_remove(position))
}
