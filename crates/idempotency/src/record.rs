//! The record that the key-value service stores for a claim.

use {
    crate::{Claim, ClaimOutcome, StoredAnswer},
    base64::{Engine as _, engine::general_purpose::STANDARD},
    bytes::Bytes,
    catalog::{ClientAccountId, InstanceId},
    keyvalue::KvPair,
    serde::{Deserialize, Serialize},
};

/// Key prefix of all claims.
const CLAIM_PREFIX: &str = "/rattan/claim/";

/// Value under a claim's key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct ClaimRecord {
    /// Random value that distinguishes this attempt from all others.
    pub(crate) nonce: String,
    /// Instance that holds the claim.
    pub(crate) holder: InstanceId,
    /// Digest of the request, in hexadecimal.
    pub(crate) request_digest: String,
    /// State of the attempt.
    pub(crate) state: AttemptState,
}

/// State of an attempt, as far as the key-value service knows it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub(crate) enum AttemptState {
    /// The request may be running.
    Claimed,
    /// The attempt ended with an unknown result.
    Unknown,
    /// The request ran. The body is encoded as base64, or `None` if it was too long.
    Done {
        status: u16,
        content_type: String,
        body: Option<String>,
    },
}

impl AttemptState {
    /// Returns the state of a request that ran. A body of more than `max_body_bytes` is left out.
    pub(crate) fn done(answer: StoredAnswer, max_body_bytes: usize) -> Self {
        let keep_body = answer.body.len() <= max_body_bytes;
        Self::Done {
            status: answer.status,
            content_type: answer.content_type,
            body: keep_body.then(|| STANDARD.encode(&answer.body)),
        }
    }
}

impl ClaimRecord {
    /// Decodes a record. Returns `None` if it is malformed; its request must then not be run, since it
    /// may be running already.
    pub(crate) fn parse(pair: &KvPair) -> Option<Self> {
        serde_json::from_slice(&pair.value).ok()
    }

    /// Encodes the record as the value to write.
    pub(crate) fn encode(&self) -> Bytes {
        serde_json::to_vec(self).unwrap_or_default().into()
    }

    /// Returns the record of `claim` with the given state.
    pub(crate) fn for_claim(claim: &Claim, holder: &InstanceId, state: AttemptState) -> Self {
        Self {
            nonce: claim.nonce.clone(),
            holder: holder.clone(),
            request_digest: claim.request_digest.clone(),
            state,
        }
    }

    /// Returns the outcome for a request with this digest if the record belongs to another attempt.
    pub(crate) fn into_outcome(self, request_digest: &str) -> ClaimOutcome {
        if self.request_digest != request_digest {
            return ClaimOutcome::KeyReused;
        }
        let holder = self.holder;
        match self.state {
            AttemptState::Claimed => ClaimOutcome::Pending { holder },
            AttemptState::Unknown => ClaimOutcome::Unknown { holder },
            AttemptState::Done {
                status,
                content_type,
                body,
            } => replayed_outcome(status, content_type, body),
        }
    }
}

fn replayed_outcome(status: u16, content_type: String, body: Option<String>) -> ClaimOutcome {
    let body = body.and_then(|body| STANDARD.decode(body).ok());
    match body {
        Some(body) => ClaimOutcome::Done(StoredAnswer {
            status,
            content_type,
            body: body.into(),
        }),
        None => ClaimOutcome::DoneWithoutBody { status },
    }
}

/// Returns the key of a claim. The hash also covers the account and its length, so that no two
/// accounts share a key.
pub(crate) fn claim_key(account: &ClientAccountId, idempotency_key: &str) -> String {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&(account.len() as u64).to_le_bytes());
    hasher.update(account.as_bytes());
    hasher.update(idempotency_key.as_bytes());
    format!("{CLAIM_PREFIX}{account}/{}", hasher.finalize().to_hex())
}
