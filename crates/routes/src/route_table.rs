//! Look-up of routes and accounts.

use {
    crate::{Account, Route, RouteConfig},
    std::{cmp::Reverse, collections::HashMap},
};

/// Position of a route or account in its configuration.
type Index = usize;

/// A configuration with look-up by host, path and key.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    config: RouteConfig,
    /// Routes of each host, the longest prefix first.
    by_host: HashMap<String, Vec<Index>>,
    by_key: HashMap<String, Index>,
}

impl RouteTable {
    /// Indexes a configuration.
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

    /// The configuration.
    #[must_use]
    pub fn config(&self) -> &RouteConfig {
        &self.config
    }

    /// The route with the longest prefix that begins `path`. `host` may carry a port; `path` has
    /// no query.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let name = host.split(':').next().unwrap_or(host);
        let indexes = match self.by_host.get(name) {
            Some(indexes) => indexes,
            None => self.by_host.get(&name.to_ascii_lowercase())?,
        };
        let mut routes = indexes.iter().map(|index| &self.config.routes[*index]);
        routes.find(|route| path.starts_with(&route.path_prefix))
    }

    /// The account that holds a key.
    #[must_use]
    pub fn account(&self, key: &str) -> Option<&Account> {
        let index = self.by_key.get(key)?;
        self.config.accounts.get(*index)
    }

    /// Whether any call needs a key.
    #[must_use]
    pub fn has_accounts(&self) -> bool {
        !self.config.accounts.is_empty()
    }
}
