//! What the operating platform allows beyond the calls that a cold target bears.

use crate::ColdBound;

/// How far one second may exceed the calls that a cold target bears.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdAllowance {
    /// Factor by which one second may exceed the target's rate; finite and not negative.
    pub overage_factor: f64,
    /// Calls by which one second may exceed that besides; finite and not negative.
    pub slack_count: f64,
}

impl ColdAllowance {
    /// The bound of the target `target_seed`, which bears `calls_per_s` while it is cold.
    #[must_use]
    pub fn bound(self, target_seed: u64, calls_per_s: f64) -> ColdBound {
        ColdBound {
            target_seed,
            calls_per_s,
            overage_factor: self.overage_factor,
            slack_count: self.slack_count,
        }
    }
}
