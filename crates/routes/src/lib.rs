//! Which calls are let in, and which group of targets may run each.
//!
//! [`RouteConfig`] is one configuration as the operators wrote it. [`RouteTable`] is made of it once
//! and answers, for each call, which [`Route`] and which [`Account`] it belongs to. No I/O.
//!
//! ```
//! use routes::{RouteConfig, RetryPolicy, Route, RouteTable};
//!
//! let route = Route::new("status", "orders.example", "/status/").retry_policy(RetryPolicy::Idempotent);
//! let nested = Route::new("history", "orders.example", "/status/history/");
//! let table = RouteTable::new(RouteConfig::default().routes(vec![route, nested]));
//!
//! let found = table.route("orders.example:8080", "/status/history/7").unwrap();
//! assert_eq!(found.name, "history");
//! assert!(table.route("orders.example", "/status").is_none());
//! ```

mod account;
mod pool;
mod route;
mod route_config;
mod route_table;

pub use {
    account::{Account, AccountKey},
    pool::{EngineProperties, Pool, PoolId, PoolKind, StoreProperties},
    route::{PoolShare, RetryPolicy, Route, RouteId},
    route_config::{CallLimits, RouteConfig},
    route_table::RouteTable,
};
