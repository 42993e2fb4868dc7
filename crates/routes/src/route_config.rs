//! The configuration of the routes.

use {
    crate::{Account, Pool, PoolId, Route},
    std::{collections::BTreeMap, time::Duration},
};

/// Limits on what callers may send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallLimits {
    /// Longest head, in bytes.
    pub max_head_bytes: usize,
    /// Longest body, in bytes.
    pub max_body_bytes: usize,
    /// Longest time for a head or for a part of a body to arrive.
    pub head_timeout: Duration,
    /// Longest time that a connection may stay unused.
    pub idle_timeout: Duration,
}

impl Default for CallLimits {
    fn default() -> Self {
        Self {
            max_head_bytes: 16 << 10,
            max_body_bytes: 4 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// One configuration as the operators wrote it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteConfig {
    /// Version; a higher one replaces a lower one and never the other way round.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Route>,
    /// Pools by name.
    pub pools: BTreeMap<PoolId, Pool>,
    /// Client accounts.
    pub accounts: Vec<Account>,
    /// Limits on calls.
    pub limits: CallLimits,
}

impl RouteConfig {
    /// Sets the routes.
    #[must_use]
    pub fn routes(mut self, routes: Vec<Route>) -> Self {
        self.routes = routes;
        self
    }

    /// Sets the client accounts.
    #[must_use]
    pub fn accounts(mut self, accounts: Vec<Account>) -> Self {
        self.accounts = accounts;
        self
    }

    /// Sets the version.
    #[must_use]
    pub fn version(mut self, version: u64) -> Self {
        self.version = version;
        self
    }
}
