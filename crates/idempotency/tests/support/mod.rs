//! Callers that repeat requests through several instances while the key-value service fails.

mod guard;
mod spec;
mod world;

pub use {
    guard::{Guard, NaiveClaims, RealClaims, Seen},
    spec::{ClaimSpec, Operation},
    world::{Verdict, World},
};
