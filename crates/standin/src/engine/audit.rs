//! What an engine did, for a test to judge.

use serde::{Deserialize, Serialize};

/// Runs kept in the audit.
const MAX_RUNS_COUNT: usize = 200_000;

/// One run as it was computed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AuditedRun {
    /// Request id.
    pub request_id: String,
    /// Digest of the weights that really ran.
    pub version: String,
    /// Cache salt.
    pub salt: String,
    /// Prompt tokens taken from memory.
    pub cached_tokens: u64,
}

/// Blocks that were handed to the engine or asked of it although they must not be used, and all
/// runs. Every count is 0 as long as whoever drives the engine keeps blocks apart.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Audit {
    /// Blocks whose content belongs to another key, or that a run names although they are cached
    /// under another salt.
    pub foreign_blocks: u64,
    /// Imported blocks that were short or altered and had passed the store's checks.
    pub partial_blocks: u64,
    /// Imported or used blocks that were computed with the weights of another version.
    pub wrong_version_blocks: u64,
    /// Runs in the order in which their prompts began to be computed.
    pub runs: Vec<AuditedRun>,
    /// Fencing numbers of the orders that were taken, in the order in which they came.
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
