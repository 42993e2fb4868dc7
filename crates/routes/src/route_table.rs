//! Lookup of routes by host and path, and of client accounts by key.

use {
    crate::{Account, Route, RouteConfig},
    std::{cmp::Reverse, collections::HashMap},
};

/// Index of a route or account in its configuration.
type Index = usize;

/// A configuration indexed by host, path prefix and key.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    config: RouteConfig,
    /// Routes by lowercase host name, the longest prefix first.
    by_host: HashMap<String, Vec<Index>>,
    /// Accounts by key.
    by_key: HashMap<String, Index>,
}

impl RouteTable {
    /// Builds the indexes of a configuration.
    #[must_use]
    pub fn new(config: RouteConfig) -> Self {
        let mut by_host: HashMap<String, Vec<Index>> = HashMap::new();
        for (index, route) in config.routes.iter().enumerate() {
            let host = route.host.to_ascii_lowercase();
            by_host.entry(host).or_default().push(index);
        }
        for indexes in by_host.values_mut() {
            indexes.sort_by_key(|index| Reverse(config.routes[*index].path_prefix.len()));
        }
        let mut by_key = HashMap::new();
        for (index, account) in config.accounts.iter().enumerate() {
            by_key.extend(account.keys.iter().map(|key| (key.clone(), index)));
        }
        Self {
            config,
            by_host,
            by_key,
        }
    }

    /// The configuration that the table was built from.
    #[must_use]
    pub fn config(&self) -> &RouteConfig {
        &self.config
    }

    /// Finds the route with the longest path prefix that matches. `host` is compared without case
    /// and may carry a port; `path` must not include the query.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host_name = host.split(':').next().unwrap_or(host);
        let indexes = match self.by_host.get(host_name) {
            Some(indexes) => indexes,
            None => self.by_host.get(&host_name.to_ascii_lowercase())?,
        };
        let mut routes = indexes.iter().map(|index| &self.config.routes[*index]);
        routes.find(|route| path.starts_with(&route.path_prefix))
    }

    /// Finds the client account that owns `key`.
    #[must_use]
    pub fn account(&self, key: &str) -> Option<&Account> {
        let index = self.by_key.get(key)?;
        self.config.accounts.get(*index)
    }

    /// Whether any client account is configured. Without one, no call needs a key.
    #[must_use]
    pub fn has_accounts(&self) -> bool {
        !self.config.accounts.is_empty()
    }
}
