//! One completion while it runs.

use {
    super::completion::{Completion, DEFAULT_MAX_TOKENS, token_count},
    crate::content::{answer_token, prompt_digest},
    serde_json::{Value, json},
    std::sync::atomic::{AtomicU64, Ordering},
    tokio::sync::watch,
};

/// Progress of a run.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct Progress {
    /// Number of answer tokens produced.
    pub(super) tokens: u64,
    /// Whether the run was cancelled.
    pub(super) cancelled: bool,
}

/// One run. It continues if its caller disconnects.
#[derive(Debug)]
pub(super) struct Run {
    pub(super) request_id: String,
    pub(super) model: String,
    pub(super) salt: String,
    /// Digest of the version that the engine reported when the run arrived.
    pub(super) reported_version: String,
    /// Digest of the weights that were loaded when the run arrived; they compute it.
    pub(super) version: String,
    pub(super) block_keys: Vec<String>,
    pub(super) priority: i64,
    pub(super) prompt_tokens: u64,
    pub(super) max_tokens: u64,
    pub(super) progress: watch::Sender<Progress>,
    cached_tokens: AtomicU64,
    prompt_digest: [u8; 32],
}

impl Run {
    pub(super) fn new(completion: Completion, reported_version: String, version: String) -> Self {
        Self {
            prompt_tokens: token_count(&completion.prompt).max(1),
            prompt_digest: prompt_digest(&completion.prompt),
            max_tokens: completion.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS).max(1),
            request_id: completion.request_id,
            model: completion.model,
            salt: completion.cache_salt,
            block_keys: completion.block_keys,
            priority: completion.priority,
            progress: watch::Sender::new(Progress::default()),
            cached_tokens: AtomicU64::new(0),
            reported_version,
            version,
        }
    }

    pub(super) fn cached_tokens(&self) -> u64 {
        self.cached_tokens.load(Ordering::Relaxed)
    }

    pub(super) fn set_cached_tokens(&self, tokens: u64) {
        self.cached_tokens.store(tokens, Ordering::Relaxed);
    }

    pub(super) fn is_cancelled(&self) -> bool {
        self.progress.borrow().cancelled
    }

    pub(super) fn is_over(&self) -> bool {
        let progress = *self.progress.borrow();
        progress.cancelled || progress.tokens >= self.max_tokens
    }

    pub(super) fn cancel(&self) {
        self.progress
            .send_modify(|progress| progress.cancelled = true);
    }

    /// Waits until answer token `index` is ready; false if the run is cancelled first.
    pub(super) async fn token_ready(&self, index: u64) -> bool {
        let mut receiver = self.progress.subscribe();
        let reached = receiver
            .wait_for(|progress| progress.cancelled || progress.tokens > index)
            .await;
        reached.is_ok_and(|progress| progress.tokens > index)
    }

    pub(super) fn token(&self, index: u64) -> String {
        answer_token(&self.request_id, &self.prompt_digest, index)
    }

    /// Server-sent chunk with answer token `index`; the last chunk also has the usage.
    pub(super) fn chunk(&self, index: u64) -> Value {
        let last = index + 1 == self.max_tokens;
        let mut chunk = self.object(&self.token(index), last.then_some("length"));
        if last {
            chunk["usage"] = self.usage();
        }
        chunk
    }

    /// The body of an answer that is not streamed.
    pub(super) fn response_body(&self) -> Value {
        let text: String = (0..self.max_tokens)
            .map(|index| self.token(index))
            .collect();
        let mut body = self.object(&text, Some("length"));
        body["usage"] = self.usage();
        body
    }

    fn object(&self, text: &str, finish_reason: Option<&str>) -> Value {
        json!({
            "id": self.request_id,
            "object": "text_completion",
            "model": self.model,
            "system_fingerprint": self.version,
            "choices": [{"index": 0, "text": text, "finish_reason": finish_reason}],
        })
    }

    fn usage(&self) -> Value {
        json!({
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.max_tokens,
            "prompt_tokens_details": {"cached_tokens": self.cached_tokens()},
        })
    }
}
