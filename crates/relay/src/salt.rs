//! Salts of cache keys. They keep cached prompt parts apart by weights version and by who may share them.

use {
    parts::{PartKey, part_key},
    routes::{Account, RouteTable},
};

/// Separates the version from the scope.
const SEPARATOR: char = '/';
/// Precedes the version in salts shared by all accounts but the isolated ones, so that no account can
/// have the same salt.
const SHARED_PREFIX: char = '0';

/// Who may use a cached prompt part.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum CacheScope {
    /// Every account; none is isolated.
    Everyone,
    /// Every account but the isolated ones, whose names have this digest. Another set of isolated
    /// accounts has a scope of its own, since one of them may have made parts while it shared them.
    NotIsolated(PartKey),
    /// Only this isolated account.
    Account(String),
}

impl CacheScope {
    /// Scope of a prompt of `account`, which is `None` if the call needs no key, by the configuration of
    /// `table`. An account that the configuration no longer has shares nothing.
    pub(crate) fn new(table: &RouteTable, account: Option<&Account>) -> Self {
        let accounts = table.config().accounts.as_deref().unwrap_or_default();
        if let Some(account) = account {
            let current = accounts.iter().find(|it| it.name == account.name);
            if current.is_none_or(|it| it.isolated) {
                return Self::Account(account.name.clone());
            }
        }
        let isolated = accounts.iter().filter(|it| it.isolated);
        let mut names: Vec<&str> = isolated.map(|it| it.name.as_str()).collect();
        if names.is_empty() {
            return Self::Everyone;
        }
        names.sort_unstable();
        names.dedup();
        let digest = names.iter().fold(0, |digest: PartKey, name| {
            part_key(&digest.to_string(), name)
        });
        Self::NotIsolated(digest)
    }
}

/// Salt for parts computed by weights `version` within `scope`.
pub(crate) fn salt(version: u64, scope: &CacheScope) -> String {
    match scope {
        CacheScope::Everyone => version.to_string(),
        CacheScope::NotIsolated(digest) => {
            format!("{SHARED_PREFIX}{version}{SEPARATOR}{digest:016x}")
        }
        CacheScope::Account(account) => format!("{version}{SEPARATOR}{account}"),
    }
}

/// Weights version that a salt was made for; `None` if this crate did not make the salt.
#[must_use]
pub fn salt_version(salt: &str) -> Option<u64> {
    let version = salt
        .split_once(SEPARATOR)
        .map_or(salt, |(version, _)| version);
    version.parse().ok()
}
