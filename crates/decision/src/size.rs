//! Estimates the memory that a record takes.

use {
    crate::{Record, Step},
    routing::{Choice, Estimate, RejectedCandidate},
    std::mem,
};

/// Estimates the bytes that `record` takes in memory, without the allocator's overhead.
#[must_use]
pub fn size_bytes(record: &Record) -> usize {
    let header_bytes = record.request.len()
        + record.client_account.len()
        + record.instance.len()
        + record.model_version.len();
    mem::size_of::<Record>() + header_bytes + record.steps.iter().map(step_bytes).sum::<usize>()
}

pub(crate) fn step_bytes(step: &Step) -> usize {
    let heap_bytes = match step {
        Step::Refused {
            reason, rejected, ..
        } => reason.len() + rejected_bytes(rejected),
        Step::Routed { choice, missing } => choice_bytes(choice) + strings_bytes(missing),
        Step::Attempt { target, error, .. } => target.len() + error.len(),
        Step::Imported { store, missing, .. } => store.len() + missing.len(),
        Step::Finished {
            recompute_reason, ..
        } => recompute_reason.len(),
        Step::Exported { store, reason, .. } => store.len() + reason.len(),
    };
    mem::size_of::<Step>() + heap_bytes
}

fn choice_bytes(choice: &Choice) -> usize {
    let others_bytes = choice.others.iter().map(estimate_bytes).sum::<usize>();
    choice.chosen.target.len() + others_bytes + rejected_bytes(&choice.rejected)
}

fn estimate_bytes(estimate: &Estimate) -> usize {
    mem::size_of::<Estimate>() + estimate.target.len()
}

fn rejected_bytes(rejected: &[RejectedCandidate]) -> usize {
    rejected
        .iter()
        .map(|rejected| mem::size_of::<RejectedCandidate>() + rejected.target.len())
        .sum()
}

fn strings_bytes(strings: &[String]) -> usize {
    strings
        .iter()
        .map(|text| mem::size_of::<String>() + text.len())
        .sum()
}
