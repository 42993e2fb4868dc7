//! Simulation of callers that retry requests through several instances while the key-value service
//! fails.

mod claim_spec;
mod request_guard;
mod simulation;

pub use {
    claim_spec::{ClaimSpec, Operation},
    request_guard::{NaiveClaims, Observation, RealClaims, RequestGuard},
    simulation::{RunReport, Simulation},
};
