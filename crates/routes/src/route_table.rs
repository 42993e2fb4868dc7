//! Lookup of routes by host and path, and of client accounts by key.

use {
    crate::{Account, AccountKey, Homes, Route, RouteConfig},
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
    /// Accounts by key. A key that two accounts have is left out, since it identifies neither.
    by_key: HashMap<AccountKey, Index>,
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
        let by_key = index_keys(config.accounts.as_deref().unwrap_or_default());
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
        let mut routes = self.routes_of(host);
        routes.find(|route| path.starts_with(&route.path_prefix))
    }

    /// The homes that all routes of a host have in common, for callers that have yet to choose an
    /// instance for any of them.
    #[must_use]
    pub fn host_homes(&self, host: &str) -> Homes {
        let routes = self.routes_of(host);
        routes.fold(Homes::default(), |homes, route| homes.both(&route.homes))
    }

    /// The routes of a host, the longest prefix first.
    fn routes_of(&self, host: &str) -> impl Iterator<Item = &Route> {
        let host_name = host.split(':').next().unwrap_or(host);
        let indexes = self.by_host.get(host_name);
        let indexes = indexes.or_else(|| self.by_host.get(&host_name.to_ascii_lowercase()));
        let indexes = indexes.into_iter().flatten();
        indexes.map(|index| &self.config.routes[*index])
    }

    /// Finds the client account that owns `key`.
    #[must_use]
    pub fn account(&self, key: &str) -> Option<&Account> {
        let index = self.by_key.get(key)?;
        self.config.accounts.as_ref()?.get(*index)
    }

    /// Whether calls of non-public routes need the key of a client account.
    #[must_use]
    pub fn needs_keys(&self) -> bool {
        self.config.accounts.is_some()
    }
}

/// Indexes accounts by key, and logs an error for each key that belongs to two of them.
fn index_keys(accounts: &[Account]) -> HashMap<AccountKey, Index> {
    let mut by_key = HashMap::new();
    let mut ambiguous = Vec::new();
    for (index, account) in accounts.iter().enumerate() {
        for key in &account.keys {
            let earlier: Option<Index> = by_key.insert(key.clone(), index);
            if let Some(earlier) = earlier.filter(|earlier| *earlier != index) {
                log::error!(
                    "client accounts {} and {} have the same key, which identifies neither; give each \
                     account keys of its own",
                    accounts[earlier].name,
                    account.name
                );
                ambiguous.push(key);
            }
        }
    }
    by_key.retain(|key, _| !ambiguous.contains(&key));
    by_key
}
