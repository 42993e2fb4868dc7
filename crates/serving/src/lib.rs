//! A request's way from admission to its whole answer: limits, the choice of a target, import of
//! cached blocks, attempts and retries, export of new blocks, and the record of all of it.
//!
//! [`Serving`] ties the decision crates (`routing`, `directory`, `admission`, `idempotency`) to
//! the clients of `target`. The daemon gives it the state that its control thread publishes.

mod answered;
mod attempt;
mod blocks;
mod choose;
mod claimed;
mod claimed_completion;
mod completion;
mod exports;
mod gate;
mod imports;
mod journal;
mod link_queue;
mod links;
mod plan;
mod room;
mod service_call;
mod serving;
mod settings;
mod stores;

pub use {
    attempt::{AttemptEnd, AttemptReport, Bounds},
    blocks::{Blocks, Found, NoPeers, PeerBlocks},
    gate::{Gate, Pass},
    journal::Journal,
    serving::{Serving, State},
    settings::ServingSettings,
};
