//! Result of choosing a target.

use {
    catalog::TargetId,
    serde::{Deserialize, Serialize},
    snafu::Snafu,
    std::time::Duration,
};

/// Where the engine gets the prompt's prefix from.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PrefixSource {
    /// The engine's own memory.
    Memory,
    /// A store, over a link.
    Import,
    /// The engine computes it.
    #[default]
    Recompute,
}

/// Expected cost of running the request on one candidate.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Estimate {
    /// Name of the candidate.
    pub target: TargetId,
    /// Where the prefix would come from; [`PrefixSource::Import`] if any block is imported.
    pub source: PrefixSource,
    /// Expected time to first token.
    pub first_token: Duration,
    /// Prompt tokens expected to be computed although some engine has computed them before.
    pub recomputed_tokens: u64,
    /// Bytes expected to be transferred over the link.
    pub link_bytes: u64,
    /// Sum of `first_token`, `recomputed_tokens` and `link_bytes`, each weighted by the placement
    /// rule's objective; lower is better.
    pub cost: f64,
    /// Number of blocks to import, starting at `import_from_block`; 0 unless `source` is
    /// [`PrefixSource::Import`].
    pub import_blocks: usize,
    /// Index of the first block to import; earlier blocks are believed to be in engine memory.
    pub import_from_block: usize,
    /// Expected duration of the import.
    pub import: Duration,
    /// Standard deviation of the duration of the import.
    pub import_deviation: Duration,
    /// Time that computing the imported blocks would take.
    pub import_saves: Duration,
}

/// Why a candidate was rejected.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FilterReason {
    /// The placement rule does not select its labels.
    Selector,
    /// It is leaving and takes no new requests.
    Leaving,
    /// It accepts no connections, or was already tried for this request.
    Unreachable,
    /// Its queue is full (an engine) or all its slots are taken (a service).
    Full,
    /// It does not run the requested model version and must not load it now.
    Version,
}

/// A candidate that was rejected.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RejectedCandidate {
    /// Name of the candidate.
    pub target: TargetId,
    /// Why it was rejected.
    pub reason: FilterReason,
}

/// The chosen target and the alternatives.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Choice {
    /// Estimate for the chosen target.
    pub chosen: Estimate,
    /// Estimates for the remaining candidates, best first.
    pub others: Vec<Estimate>,
    /// Rejected candidates.
    pub rejected: Vec<RejectedCandidate>,
}

/// Error: every candidate was rejected.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize, Snafu)]
#[snafu(display(
    "no target can take the request: {} were left out; add a target that the placement rule \
     selects, or try again in {} ms",
    rejected.len(),
    retry_after.as_millis()
))]
pub struct NoTargetAvailable {
    /// Rejected candidates with the reasons.
    pub rejected: Vec<RejectedCandidate>,
    /// How long the caller should wait before it retries.
    pub retry_after: Duration,
}
