//! Salts of cache keys. They keep cached prompt parts apart by weights version and by who may share them.

use {
    crate::reach::homes_digest,
    parts::{PartKey, part_key},
    routes::{Account, Homes, RouteTable},
};

/// Separates the version from the scope.
const SEPARATOR: char = '/';
/// Precedes the version in salts shared by all accounts but the isolated ones, so that no account can
/// have the same salt.
const SHARED_PREFIX: char = '0';

/// Precedes the version in salts of prompts with homes. With these prompts alone, parts never leave
/// the homes.
const HOMES_PREFIX: &str = "00";

/// Who may use a cached prompt part.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct CacheScope {
    /// The accounts that may use it.
    accounts: AccountScope,
    /// Digest of the homes of the prompts that may use it; `None` if it is for those without homes.
    homes: Option<PartKey>,
}

/// The accounts that may use a cached prompt part.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
enum AccountScope {
    /// Every account; none is isolated.
    #[default]
    Everyone,
    /// Every account but the isolated ones, whose names have this digest. Another set of isolated
    /// accounts has a scope of its own, since one of them may have made parts while it shared them.
    NotIsolated(PartKey),
    /// Only this isolated account.
    Account(String),
}

impl CacheScope {
    /// Scope of a prompt of `account`, which is `None` if the call needs no key, by the configuration of
    /// `table`. An account that the configuration no longer has shares nothing. A prompt shares parts
    /// only with those that have the same homes, since others may take them elsewhere.
    pub(crate) fn new(table: &RouteTable, account: Option<&Account>, homes: &Homes) -> Self {
        Self {
            accounts: AccountScope::new(table, account),
            homes: homes_digest(homes),
        }
    }
}

impl AccountScope {
    fn new(table: &RouteTable, account: Option<&Account>) -> Self {
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
    let salt = match &scope.accounts {
        AccountScope::Everyone => version.to_string(),
        AccountScope::NotIsolated(digest) => {
            format!("{SHARED_PREFIX}{version}{SEPARATOR}{digest:016x}")
        }
        AccountScope::Account(account) => format!("{version}{SEPARATOR}{account}"),
    };
    match scope.homes {
        Some(homes) => format!("{HOMES_PREFIX}{version}{SEPARATOR}{homes:016x}{SEPARATOR}{salt}"),
        None => salt,
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
