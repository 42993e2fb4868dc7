//! Admission control per client account, target and link. Refusals carry a retry delay.
//!
//! [`Admission`] is the fair queue of one entry instance. It does no I/O, has no timer and never
//! blocks; an asynchronous wrapper waits for tickets. [`TargetSlots`] limits the requests in flight
//! to each target, and [`LinkBudget`] limits the transfers on a link.
//!
//! ```
//! use {
//!     admission::{Admission, Limits, OfferOutcome},
//!     std::time::{Duration, Instant},
//! };
//!
//! # let account = catalog::ClientAccount {
//! #     name: "kitchens".into(),
//! #     labels: Default::default(),
//! #     key_digests: vec![],
//! #     max_running_count: 10,
//! #     tokens_per_s: 10_000,
//! #     weight: 1,
//! # };
//! let now = Instant::now();
//! let limits = Limits {
//!     max_running_count: 1,
//!     ..Limits::default()
//! };
//! let mut admission = Admission::new(limits, now);
//! assert_eq!(admission.offer(&account, 500, 0, now), OfferOutcome::Admitted);
//! let OfferOutcome::Queued(ticket) = admission.offer(&account, 500, 0, now) else {
//!     panic!("expected a short wait");
//! };
//! admission.release(&account.name, Duration::from_millis(80), now);
//! assert_eq!(admission.start_waiting(now), [ticket]);
//! ```

mod account;
mod admission;
mod link_budget;
mod refused;
mod service_time;
mod target_slots;
mod token_bucket;

pub use {
    admission::{Admission, Limits, OfferOutcome, Ticket},
    link_budget::{HeadroomRule, LinkBudget, TransferRate},
    refused::Refused,
    target_slots::TargetSlots,
};
