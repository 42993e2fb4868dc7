//! Client accounts for the tests.

use catalog::ClientAccount;

/// Returns an account with the given running limit and a token rate too high to matter.
pub fn account(name: &str, max_running_count: u32) -> ClientAccount {
    ClientAccount {
        name: name.into(),
        labels: [].into(),
        key_digests: Vec::new(),
        max_running_count,
        tokens_per_s: 1_000_000_000,
        weight: 1,
    }
}
