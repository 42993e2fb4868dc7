//! Salts of cache keys. They keep cached prompt parts apart by weights version and isolated account.

/// Separates the version from the account.
const SEPARATOR: char = '/';

/// Salt for parts computed by weights `version`, for one isolated account or shared by all others.
pub(crate) fn salt(version: u64, isolated_account: Option<&str>) -> String {
    match isolated_account {
        Some(account) => format!("{version}{SEPARATOR}{account}"),
        None => version.to_string(),
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
