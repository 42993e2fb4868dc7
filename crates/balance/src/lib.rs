//! Chooses the target of a relayed call.
//!
//! The crate reads no clock and does no I/O. [`choose()`] keeps the calls of a session on few
//! targets, so that they can reuse cached prefixes, and spills to others under load. [`Health`]
//! ejects targets that fail. [`RetryBudgetShare`] is this instance's part of a retry budget that
//! all instances share.
//!
//! ```
//! use balance::{Candidate, choose, rendezvous};
//!
//! let candidates: Vec<Candidate> = ["engine-a", "engine-b", "engine-c"]
//!     .into_iter()
//!     .map(|name| Candidate::new(rendezvous::member_seed(name), 48))
//!     .collect();
//! let session = rendezvous::key_seed(b"91bd3f06");
//! let first = choose(&candidates, Some(session), 0);
//! assert_eq!(first, choose(&candidates, Some(session), 1), "a session stays on its target");
//! ```

mod answer_time_histogram;
mod candidate;
mod choose;
mod cold_allowance;
mod cold_share;
mod health;
mod limit_share;
mod peer_loads;
mod place_share;
mod reachability;
pub mod rendezvous;
mod retry_budget_share;
mod return_delay;
mod room_estimate;
mod shown_room;
mod smallest_part;
mod start_delay;

pub use {
    answer_time_histogram::AnswerTimeHistogram,
    candidate::Candidate,
    choose::choose,
    cold_allowance::ColdAllowance,
    cold_share::{ColdBound, ColdShare},
    health::{CallOutcome, Health},
    limit_share::{LimitShare, limit_part},
    peer_loads::{PeerLoads, TargetLoad},
    place_share::{BoundedPlaces, PlaceShare},
    reachability::Reachability,
    retry_budget_share::{RetryBounds, RetryBudgetShare},
    return_delay::return_delay,
    room_estimate::RoomEstimate,
    shown_room::ShownRoom,
    start_delay::StartDelay,
};
