//! Configuration of routes, pools and client accounts.

use {
    crate::{Account, Pool, PoolId, Route},
    std::{collections::BTreeMap, time::Duration},
};

/// Limits on the size and duration of what callers send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallLimits {
    /// Maximum length of a request head, in bytes.
    pub max_head_bytes: usize,
    /// Maximum length of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum time for a request head, or for the next chunk of a body, to arrive.
    pub head_timeout: Duration,
    /// Maximum time that a connection may stay idle.
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

/// One version of the configuration that the operators wrote.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteConfig {
    /// Version number. A configuration is only ever replaced by one with a higher version.
    pub version: u64,
    /// Routes, in no particular order.
    pub routes: Vec<Route>,
    /// Target pools by name.
    pub pools: BTreeMap<PoolId, Pool>,
    /// Client accounts that may call non-public routes. `None` if calls need no key; an empty list
    /// lets nobody call them.
    pub accounts: Option<Vec<Account>>,
    /// Limits on what callers send.
    pub limits: CallLimits,
}

impl RouteConfig {
    /// Sets the routes.
    #[must_use]
    pub fn routes(mut self, routes: Vec<Route>) -> Self {
        self.routes = routes;
        self
    }

    /// Sets the client accounts, so that calls of non-public routes need a key of one of them.
    #[must_use]
    pub fn accounts(mut self, accounts: Vec<Account>) -> Self {
        self.accounts = Some(accounts);
        self
    }

    /// Number of keys with which non-public routes can be called; `None` if calls need no key.
    #[must_use]
    pub fn keys_count(&self) -> Option<usize> {
        let accounts = self.accounts.as_ref()?;
        Some(accounts.iter().map(|account| account.keys.len()).sum())
    }

    /// Sets the version.
    #[must_use]
    pub fn version(mut self, version: u64) -> Self {
        self.version = version;
        self
    }
}
