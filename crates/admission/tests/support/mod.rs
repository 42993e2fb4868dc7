//! Client accounts for the tests.

use catalog::ClientAccount;

/// An account with room for `max_running_count` requests and no effective token rate.
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
