//! A record of what an engine did, for tests to check.

use serde::{Deserialize, Serialize};

/// Number of runs and of orders kept in the audit.
const MAX_RUNS_COUNT: usize = 200_000;

/// One run, as the engine computed it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AuditedRun {
    /// Request id.
    pub request_id: String,
    /// Digest of the weights that computed it, whatever version the engine reported.
    pub version: String,
    /// Cache salt.
    pub salt: String,
    /// Prompt tokens found in the prefix cache.
    pub cached_tokens: u64,
}

/// All runs and orders, and counts of blocks that must not be used but were imported or requested.
/// Every count is 0 as long as the system under test keeps the blocks of different keys, salts and
/// versions apart.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Audit {
    /// Imported blocks whose content belongs to another key, and blocks that a run names although
    /// they are cached under another salt.
    pub foreign_blocks: u64,
    /// Imported blocks that were short or altered although they passed the checksum.
    pub partial_blocks: u64,
    /// Imported or used blocks computed with the weights of another version.
    pub wrong_version_blocks: u64,
    /// Runs, in order of admission.
    pub runs: Vec<AuditedRun>,
    /// Fencing numbers of the accepted orders, in order of arrival.
    #[serde(default)]
    pub orders: Vec<u64>,
}

impl Audit {
    pub(super) fn add_order(&mut self, fencing: u64) {
        if self.orders.len() < MAX_RUNS_COUNT {
            self.orders.push(fencing);
        }
    }

    pub(super) fn add_run(&mut self, run: AuditedRun) {
        if self.runs.len() < MAX_RUNS_COUNT {
            self.runs.push(run);
        }
    }
}
