//! What an instance knows about the targets: their load, whether they are reachable, and its own
//! requests in flight.
//!
//! The control thread updates [`Fleet`] from the catalog, the instance list and the targets' own
//! reports. Traffic threads read it without waiting and count their requests with
//! [`InFlightRequest`].
//!
//! ```
//! use {catalog::Catalog, fleet::Fleet};
//!
//! let fleet = Fleet::default();
//! fleet.sync(&Catalog::default());
//! assert!(fleet.view("engine-1").is_none());
//! ```

#[allow(clippy::module_inception)]
mod fleet;
mod link_rate;
mod target_view;

pub use {
    fleet::Fleet,
    link_rate::LinkRate,
    target_view::{InFlightRequest, ListedState, TargetView},
};
