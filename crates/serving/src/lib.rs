//! Handles a request from admission to its complete answer: limits, the choice of a target, the
//! import of cached blocks, attempts and retries, the export of new blocks, and the decision
//! record.
//!
//! [`RequestHandler`] connects the decision crates (`routing`, `directory`, `admission`,
//! `idempotency`) to the clients of `target`. The daemon passes in the state that its control thread
//! keeps up to date.

mod admission_queue;
mod attempt;
mod choose;
mod claim;
mod claimed_completion;
mod completion;
mod decision_records;
mod eviction;
mod exports;
mod finished;
mod imports;
mod link_budgets;
mod plan;
mod queued_link_bytes;
mod request_handler;
mod service_call;
mod settings;
mod shared_directory;
mod stores;

pub use {
    admission_queue::{AdmissionQueue, Permit},
    attempt::{Attempt, AttemptEnd, AttemptReport, Timeouts},
    decision_records::DecisionRecords,
    request_handler::{HandlerState, RequestHandler},
    settings::ServingSettings,
    shared_directory::{FoundBlocks, NoPeers, PeerDirectory, SharedDirectory},
};
