//! Reconciles targets with the configuration: which version, adapters and role each engine has.
//!
//! [`plan`] compares the desired state, which [`Candidates`] derives from the catalog, with the
//! state that targets report, and returns the orders to give now. It does no I/O. [`LeaseHolder`]
//! leases targets, so that only one instance at a time gives orders to a target. [`Reconciler`]
//! combines both.
//!
//! ```
//! use {
//!     catalog::Catalog,
//!     orders::{Candidates, LoadLimits, plan},
//!     std::collections::BTreeMap,
//! };
//!
//! let catalog = Catalog::default();
//! let candidates = Candidates::from(&catalog);
//! let planned = plan(&catalog, &candidates, &BTreeMap::new(), &[], &LoadLimits::default());
//! assert!(planned.is_empty());
//! ```

mod candidates;
mod holder_record;
mod kept_token;
mod lease_holder;
mod load_slots;
mod order;
mod plan;
mod reconciler;
mod target_control;

pub use {
    candidates::{ADAPTER_LABEL_PREFIX, Candidate, Candidates, ROLE_LABEL},
    lease_holder::{LeaseHolder, LeaseHolderSettings},
    order::{ObservedState, Order, PlannedOrder},
    plan::{LoadLimits, plan},
    reconciler::{OrderOutcome, Reconciler, ReconcilerSettings},
    target_control::{OrderError, TargetControl},
};
