//! Orders that bring targets to the state that the configuration asks for.
//!
//! [`plan`] compares the desired state, derived from the catalog by [`Candidates`], with what
//! targets report, and says which orders to give now. It does no I/O. [`Holder`] leases targets, so
//! that one instance at a time gives a target orders. [`Orderer`] puts both together.
//!
//! ```
//! use {
//!     catalog::Catalog,
//!     orders::{Candidates, Limits, plan},
//!     std::collections::BTreeMap,
//! };
//!
//! let catalog = Catalog::default();
//! let candidates = Candidates::from(&catalog);
//! let planned = plan(&catalog, &candidates, &BTreeMap::new(), &[], &Limits::default());
//! assert!(planned.is_empty());
//! ```

mod desired;
mod holder;
mod holder_record;
mod load_slots;
mod order;
mod orderer;
mod plan;
mod target;

pub use {
    desired::{ADAPTER_LABEL_PREFIX, Candidate, Candidates, ROLE_LABEL},
    holder::{Holder, HolderSettings},
    order::{Observed, Order, Planned},
    orderer::{Given, Orderer, OrdererSettings},
    plan::{Limits, plan},
    target::{OrderError, OrderTarget},
};
