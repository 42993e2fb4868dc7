//! Chooses the target of a request and names the reasons. Plain functions over values: no clock,
//! no socket.

mod candidate;
mod choice;
mod decide;

pub use {
    candidate::{Candidate, EngineLoad},
    choice::{Choice, Estimate, FilterReason, Refusal, Rejected, Source},
    decide::{Job, decide},
};
