//! What is kept about one request.

use {
    catalog::{ClientAccountId, InstanceId, ModelVersionId, RequestId, Revision, TargetId},
    routing::{Choice, RejectedCandidate},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// What is known about whether a request ran.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// No target ran any part of it.
    NotRun,
    /// It ran to its end.
    Run,
    /// It may have run.
    Unknown,
}

/// One thing that was decided or observed for a request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Step {
    /// The request was refused before any target was chosen.
    Refused {
        /// The reason, naming the remedy.
        reason: String,
        /// When the caller was told to come back, in milliseconds.
        retry_after_ms: u64,
        /// Targets left out, if routing refused.
        rejected: Vec<RejectedCandidate>,
    },
    /// A target was chosen.
    Routed {
        /// The choice, with the other candidates and their estimates.
        choice: Choice,
        /// What was missing or uncertain, for example a directory owner that did not answer.
        missing: Vec<String>,
    },
    /// An attempt at a target ended.
    Attempt {
        /// The target.
        target: TargetId,
        /// Whether it ran there.
        outcome: Outcome,
        /// Error, empty if none.
        error: String,
    },
    /// Blocks were imported before the attempt.
    Imported {
        /// Store they came from.
        store: TargetId,
        /// Blocks that arrived.
        blocks_count: usize,
        /// Bytes over the link.
        link_bytes: u64,
        /// Why blocks are missing, empty if none are.
        missing: String,
    },
    /// The engine reported how much of the prompt it had cached.
    Finished {
        /// Prompt tokens.
        prompt_tokens: u64,
        /// Of these, tokens that came from cache.
        cached_tokens: u64,
        /// Tokens computed again although they were computed before.
        recomputed_tokens: u64,
        /// Why, empty if nothing was recomputed.
        recompute_reason: String,
        /// Answer tokens.
        answer_tokens: u64,
        /// Time to first token in milliseconds.
        first_token_ms: u64,
    },
    /// Blocks were exported after the answer, or the export was skipped.
    Exported {
        /// Store, empty if skipped.
        store: TargetId,
        /// Blocks that were committed.
        blocks_count: usize,
        /// Bytes over the link.
        link_bytes: u64,
        /// Why this was done or skipped.
        reason: String,
    },
}

/// Everything decided for one request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Record {
    /// Request.
    pub request: RequestId,
    /// Client account; only it and operators may read the record.
    pub client_account: ClientAccountId,
    /// Instance that decided.
    pub instance: InstanceId,
    /// Model version, empty for plain services.
    pub model_version: ModelVersionId,
    /// Revision of the configuration that was in force.
    pub revision: Revision,
    /// Wall-clock time of arrival, since the Unix epoch.
    pub arrived: Duration,
    /// Steps in order.
    pub steps: Vec<Step>,
}

impl Record {
    /// Whether a client account may read this record. Operators may read every record.
    #[must_use]
    pub fn visible_to(&self, client_account: &str) -> bool {
        self.client_account == client_account
    }
}
