//! Text under which targets keep computed parts: apart for each version and isolated account.

/// Ends the version where an account follows.
const SEPARATOR: char = '/';

/// Salt of parts made by `version`, shared by all client accounts or kept by an isolated one.
pub(crate) fn salt(version: u64, isolated_account: Option<&str>) -> String {
    match isolated_account {
        Some(account) => format!("{version}{SEPARATOR}{account}"),
        None => version.to_string(),
    }
}

/// Version that made the parts under `salt`; none if the salt is not one of ours.
#[must_use]
pub fn salt_version(salt: &str) -> Option<u64> {
    let version = salt
        .split_once(SEPARATOR)
        .map_or(salt, |(version, _)| version);
    version.parse().ok()
}
