//! What the key-value service keeps for one claim.

use {
    crate::{Claim, ClaimOutcome, StoredAnswer},
    base64::{Engine as _, engine::general_purpose::STANDARD},
    bytes::Bytes,
    catalog::{ClientAccountId, InstanceId},
    keyvalue::KvPair,
    serde::{Deserialize, Serialize},
};

/// Prefix of all claims.
const CLAIM_PREFIX: &str = "/rattan/claim/";

/// Value of a claim's key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct ClaimRecord {
    /// Tells this attempt from all others.
    pub(crate) nonce: String,
    /// Instance that holds the claim.
    pub(crate) holder: InstanceId,
    /// Digest of the request, in hex.
    pub(crate) request_digest: String,
    /// How far the attempt is.
    pub(crate) state: AttemptState,
}

/// How far an attempt is, as far as the key-value service knows.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub(crate) enum AttemptState {
    /// It may be running.
    Claimed,
    /// It ended without a known result.
    Unknown,
    /// It ran. The body is base64, or left out if too long.
    Done {
        status: u16,
        content_type: String,
        body: Option<String>,
    },
}

impl AttemptState {
    /// State of an attempt that ran; a longer body is left out.
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
    /// Reads a record. None if it can't be understood, which must count as pending.
    pub(crate) fn parse(pair: &KvPair) -> Option<Self> {
        serde_json::from_slice(&pair.value).ok()
    }

    /// The value to write.
    pub(crate) fn encode(&self) -> Bytes {
        serde_json::to_vec(self).unwrap_or_default().into()
    }

    /// The record of `claim` in another state.
    pub(crate) fn of(claim: &Claim, holder: &InstanceId, state: AttemptState) -> Self {
        Self {
            nonce: claim.nonce.clone(),
            holder: holder.clone(),
            request_digest: claim.request_digest.clone(),
            state,
        }
    }

    /// What the record of another attempt means for a request.
    pub(crate) fn into_claimed(self, request_digest: &str) -> ClaimOutcome {
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
            } => replay(status, content_type, body),
        }
    }
}

fn replay(status: u16, content_type: String, body: Option<String>) -> ClaimOutcome {
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

/// Key of a claim. The hash covers the account too, so no two accounts share a key.
pub(crate) fn claim_key(account: &ClientAccountId, idempotency_key: &str) -> String {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&(account.len() as u64).to_le_bytes());
    hasher.update(account.as_bytes());
    hasher.update(idempotency_key.as_bytes());
    format!("{CLAIM_PREFIX}{account}/{}", hasher.finalize().to_hex())
}
