//! A request's way from admission to its whole answer: limits, the choice of a target, import of
//! cached blocks, attempts and retries, export of new blocks, and the record of all of it.
//!
//! [`RequestHandler`] ties the decision crates (`routing`, `directory`, `admission`, `idempotency`) to
//! the clients of `target`. The daemon gives it the state that its control thread publishes.

mod admission_queue;
mod answered;
mod attempt;
mod choose;
mod claimed;
mod claimed_completion;
mod completion;
mod decision_records;
mod exports;
mod imports;
mod link_queue;
mod links;
mod plan;
mod request_handler;
mod room;
mod service_call;
mod settings;
mod shared_directory;
mod stores;

pub use {
    admission_queue::{AdmissionQueue, Permit},
    attempt::{AttemptEnd, AttemptReport, Bounds},
    decision_records::DecisionRecords,
    request_handler::{HandlerState, RequestHandler},
    settings::ServingSettings,
    shared_directory::{FoundBlocks, NoPeers, PeerDirectory, SharedDirectory},
};
