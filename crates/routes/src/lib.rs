//! Route table: finds the route and the client account of each call.
//!
//! [`RouteConfig`] is one version of the operators' configuration. [`RouteTable`] indexes it and
//! looks up the [`Route`] of a host and path and the [`Account`] of a key. This crate does no I/O.
//!
//! ```
//! use routes::{RetryPolicy, Route, RouteConfig, RouteTable};
//!
//! let route = Route::new("status", "orders.example", "/status/")
//!     .retry_policy(RetryPolicy::Idempotent);
//! let nested = Route::new("history", "orders.example", "/status/history/");
//! let table = RouteTable::new(RouteConfig::default().routes(vec![route, nested]));
//!
//! let found = table.route("orders.example:8080", "/status/history/7").unwrap();
//! assert_eq!(found.name, "history");
//! assert!(table.route("orders.example", "/status").is_none());
//! ```

mod account;
mod homes;
mod homes_error;
mod pool;
mod regions;
mod route;
mod route_config;
mod route_table;

pub use {
    account::{Account, AccountKey},
    homes::Homes,
    homes_error::HomesError,
    pool::{EngineProperties, Pool, PoolId, PoolKind, StoreProperties},
    regions::Regions,
    route::{PoolShare, RetryPolicy, Route, RouteId},
    route_config::{CallLimits, RouteConfig},
    route_table::RouteTable,
};
