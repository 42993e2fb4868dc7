//! The outcome of a decision.

use {
    catalog::TargetId,
    serde::{Deserialize, Serialize},
    snafu::Snafu,
    std::time::Duration,
};

/// How the engine gets the prefix.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PrefixSource {
    /// From its own memory.
    Memory,
    /// From a store, over the link.
    Import,
    /// By computing it.
    #[default]
    Recompute,
}

/// Estimate for one candidate.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Estimate {
    /// The candidate.
    pub target: TargetId,
    /// How most of the prefix would be had.
    pub source: PrefixSource,
    /// Expected time to first token.
    pub first_token: Duration,
    /// Prompt tokens expected to be computed that were computed before.
    pub recomputed_tokens: u64,
    /// Bytes expected to cross the link.
    pub link_bytes: u64,
    /// Cost under the rule's objective; lower is better.
    pub cost: f64,
    /// Blocks to import, from `import_from_block` on; 0 unless `source` is [`PrefixSource::Import`].
    pub import_blocks: usize,
    /// First block to import; the blocks before it are believed to be in engine memory.
    pub import_from_block: usize,
    /// Expected time of the import.
    pub import: Duration,
    /// Standard deviation of that time.
    pub import_deviation: Duration,
    /// Time to compute the blocks that are imported.
    pub import_saves: Duration,
}

/// Why a candidate was left out.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FilterReason {
    /// The rule's selector does not match its labels.
    Selector,
    /// It takes no new work.
    Leaving,
    /// Connections to it fail.
    Unreachable,
    /// It runs at its limit and its queue is full.
    Full,
    /// It does not run the wanted version and may not load it now.
    Version,
}

/// A candidate that was left out.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RejectedCandidate {
    /// The candidate.
    pub target: TargetId,
    /// Why.
    pub reason: FilterReason,
}

/// Where a request goes, and what else was considered.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Choice {
    /// Estimate of the chosen target.
    pub chosen: Estimate,
    /// Estimates of the other candidates, best first.
    pub others: Vec<Estimate>,
    /// Candidates left out.
    pub rejected: Vec<RejectedCandidate>,
}

/// No target can take the request now.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize, Snafu)]
#[snafu(display(
    "no target can take the request: {} were left out; add a target that the placement rule \
     selects, or try again in {} ms",
    rejected.len(),
    retry_after.as_millis()
))]
pub struct NoTargetAvailable {
    /// Candidates left out, with reasons.
    pub rejected: Vec<RejectedCandidate>,
    /// When to come back.
    pub retry_after: Duration,
}
