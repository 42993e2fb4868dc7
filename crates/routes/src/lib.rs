//! Which calls are let in, and which group of targets may run each.
//!
//! [`Accepted`] is one configuration as the operators wrote it. [`RouteTable`] is made of it once
//! and answers, for each call, which [`Route`] and which [`Account`] it belongs to. No I/O.
//!
//! ```
//! use routes::{Accepted, Repeat, Route, RouteTable};
//!
//! let route = Route::new("status", "orders.example", "/status/").repeat(Repeat::Idempotent);
//! let nested = Route::new("history", "orders.example", "/status/history/");
//! let table = RouteTable::new(Accepted::default().routes(vec![route, nested]));
//!
//! let found = table.route("orders.example:8080", "/status/history/7").unwrap();
//! assert_eq!(found.name, "history");
//! assert!(table.route("orders.example", "/status").is_none());
//! ```

mod accepted;
mod account;
mod pool;
mod route;
mod table;

pub use {
    accepted::{Accepted, CallLimits},
    account::{Account, AccountKey},
    pool::{EngineTraits, Pool, PoolId, PoolKind, StoreTraits},
    route::{PoolShare, Repeat, Route, RouteId},
    table::RouteTable,
};
