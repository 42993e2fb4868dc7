//! The decision record of one request.

use {
    catalog::{ClientAccountId, InstanceId, ModelVersionId, RequestId, Revision, TargetId},
    routing::{Choice, RejectedCandidate},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Whether a request ran, as far as is known.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// No target ran any part of it.
    NotRun,
    /// It ran to completion.
    Run,
    /// It may have run, for example because the connection was lost before the answer.
    Unknown,
}

/// One decision or observation in the course of a request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Step {
    /// The request was refused before any target was chosen.
    Refused {
        /// Why, and what the caller can do about it.
        reason: String,
        /// Delay after which the caller was told to retry, in milliseconds.
        retry_after_ms: u64,
        /// Rejected candidates, if routing refused the request.
        rejected: Vec<RejectedCandidate>,
    },
    /// A target was chosen.
    Routed {
        /// The chosen target and the other candidates, with their estimates.
        choice: Choice,
        /// Data that was missing or uncertain when the target was chosen, for example because a
        /// directory owner did not answer.
        missing: Vec<String>,
    },
    /// An attempt at a target ended.
    Attempt {
        /// The target.
        target: TargetId,
        /// Whether the request ran there.
        outcome: Outcome,
        /// Error message; empty if the attempt succeeded.
        error: String,
    },
    /// KV cache blocks were imported from a store before the attempt.
    Imported {
        /// Store that the blocks came from.
        store: TargetId,
        /// Blocks that arrived.
        blocks_count: usize,
        /// Bytes transferred over the link.
        link_bytes: u64,
        /// Why some blocks could not be imported; empty if all were.
        missing: String,
    },
    /// The engine reported how much of the prompt it had cached.
    Finished {
        /// Prompt tokens.
        prompt_tokens: u64,
        /// Prompt tokens that came from the cache.
        cached_tokens: u64,
        /// Prompt tokens that were computed again although they had been computed before.
        recomputed_tokens: u64,
        /// Why they were recomputed; empty if none were.
        recompute_reason: String,
        /// Generated tokens.
        answer_tokens: u64,
        /// Time to first token in milliseconds.
        first_token_ms: u64,
    },
    /// KV cache blocks were exported to a store after the answer, or the export was skipped.
    Exported {
        /// Store that the blocks went to; empty if the export was skipped.
        store: TargetId,
        /// Blocks that the store committed.
        blocks_count: usize,
        /// Bytes transferred over the link.
        link_bytes: u64,
        /// Why the blocks were exported, or why not.
        reason: String,
    },
}

/// All decisions and observations for one request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Record {
    /// Id of the request.
    pub request: RequestId,
    /// Client account that sent the request. Only this account and operators may read the record.
    pub client_account: ClientAccountId,
    /// Instance that handled the request.
    pub instance: InstanceId,
    /// Model version; empty for plain services.
    pub model_version: ModelVersionId,
    /// Revision of the configuration that was in force.
    pub revision: Revision,
    /// Wall-clock time at which the request arrived, since the Unix epoch.
    pub arrived: Duration,
    /// Steps in chronological order.
    pub steps: Vec<Step>,
}

impl Record {
    /// Returns whether a client account may read this record. Operators may read every record.
    #[must_use]
    pub fn visible_to(&self, client_account: &str) -> bool {
        self.client_account == client_account
    }
}
