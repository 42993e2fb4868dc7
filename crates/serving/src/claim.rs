//! Claims requests that may run at most once, and builds the refusals for claims that fail.

use {
    crate::{PeerDirectory, RequestHandler},
    catalog::ClientAccountId,
    decision::Outcome,
    gateway::{Refusal, RefusalKind},
    idempotency::{Claim, ClaimError, ClaimOutcome, StoredAnswer},
    keyvalue::KeyValue,
    std::time::Duration,
    tokio::task::JoinError,
};

/// When the caller may retry while an earlier request with the same key is running.
const PENDING_RETRY_AFTER: Duration = Duration::from_secs(1);

/// How to proceed with a request that has an idempotency key.
pub(crate) enum ClaimDecision {
    /// This request holds the claim and may run once.
    Acquired(Claim),
    /// The request ran before; this is its stored answer.
    Replay(StoredAnswer),
}

impl<Kv, Peers> RequestHandler<Kv, Peers>
where
    Kv: KeyValue,
    Peers: PeerDirectory,
{
    /// Claims an idempotency key before the first byte of its request is sent to a target.
    ///
    /// # Errors
    /// [`Refusal`] if the claim fails, or if the key belongs to a different request, to one that is
    /// still running, to one whose outcome is unknown, or to one whose answer was too long to
    /// store.
    pub(crate) async fn claim(
        &self,
        account: &ClientAccountId,
        key: &str,
        digest: [u8; 32],
    ) -> Result<ClaimDecision, Refusal> {
        let claimed = self.claims().claim(account, key, digest).await;
        match claimed.map_err(|error| claim_failed(&error))? {
            ClaimOutcome::Acquired(claim) => Ok(ClaimDecision::Acquired(claim)),
            ClaimOutcome::Done(answer) => Ok(ClaimDecision::Replay(answer)),
            ClaimOutcome::DoneWithoutBody { status } => Err(answer_not_stored(status)),
            ClaimOutcome::Pending { holder } => Err(still_pending(&holder)),
            ClaimOutcome::Unknown { holder } => Err(outcome_unknown(&holder)),
            ClaimOutcome::KeyReused => Err(key_reused()),
        }
    }
}

/// Digest that shows whether two requests with the same idempotency key are the same request.
pub(crate) fn request_digest(parts: &[&[u8]]) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    *hasher.finalize().as_bytes()
}

fn claim_failed(error: &ClaimError) -> Refusal {
    Refusal::not_run(RefusalKind::Unavailable, error.to_string()).retry_after(error.retry_after())
}

fn still_pending(holder: &str) -> Refusal {
    Refusal::unknown(
        RefusalKind::Conflict,
        format!(
            "a request with this Idempotency-Key is held by instance {holder:?} and may have run; \
             send it again with the same key for its answer, or check with the service"
        ),
    )
    .retry_after(PENDING_RETRY_AFTER)
}

fn outcome_unknown(holder: &str) -> Refusal {
    Refusal::unknown(
        RefusalKind::Conflict,
        format!(
            "an earlier request with this Idempotency-Key got no answer at instance {holder:?} and \
             may have run; check with the service before ordering again under another key"
        ),
    )
}

fn answer_not_stored(status: u16) -> Refusal {
    Refusal {
        outcome: Outcome::Run,
        ..Refusal::not_run(
            RefusalKind::Conflict,
            format!(
                "an earlier request with this Idempotency-Key ran with status {status}; its answer \
                 was too long to be kept, look it up at the service"
            ),
        )
    }
}

pub(crate) fn answer_unreadable(error: &serde_json::Error) -> Refusal {
    log::error!("the stored answer of a completion is unreadable: {error}");
    Refusal {
        outcome: Outcome::Run,
        ..Refusal::not_run(
            RefusalKind::Conflict,
            "an earlier request with this Idempotency-Key ran, but this instance cannot read its \
             stored answer; ask another instance, or ask anew under another key",
        )
    }
}

pub(crate) fn task_failed(error: &JoinError) -> Refusal {
    log::error!("the task of a claimed request ended early: {error}");
    Refusal::unknown(
        RefusalKind::TargetFailed,
        "the request broke off inside this instance; check with the service before ordering again",
    )
}

fn key_reused() -> Refusal {
    Refusal::not_run(
        RefusalKind::Conflict,
        "this Idempotency-Key was used for another request; use a key of its own for each order",
    )
}

pub(crate) fn claim_expired() -> Refusal {
    Refusal::not_run(
        RefusalKind::Unavailable,
        "this instance was paused before it sent the request; send it again with the same key",
    )
    .retry_after(PENDING_RETRY_AFTER)
}
