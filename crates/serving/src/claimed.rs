//! Claims before requests that run at most once, and the refusals that follow from them.

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

/// When to come back while an earlier request with the same key is running.
const PENDING_RETRY: Duration = Duration::from_secs(1);

/// How a request under an idempotency key goes on.
pub(crate) enum Entered {
    /// It may run, once.
    Won(Claim),
    /// It ran before; this is its answer.
    Replay(StoredAnswer),
}

impl<Kv, Peers> RequestHandler<Kv, Peers>
where
    Kv: KeyValue,
    Peers: PeerDirectory,
{
    /// Claims a request before its first byte is sent.
    ///
    /// # Errors
    /// [`Refusal`] if the claim cannot be made, or if the key belongs to another request or to one
    /// whose outcome is not known.
    pub(crate) async fn claim(
        &self,
        account: &ClientAccountId,
        key: &str,
        digest: [u8; 32],
    ) -> Result<Entered, Refusal> {
        let claimed = self.claims().claim(account, key, digest).await;
        match claimed.map_err(|error| not_claimed(&error))? {
            ClaimOutcome::Acquired(claim) => Ok(Entered::Won(claim)),
            ClaimOutcome::Done(answer) => Ok(Entered::Replay(answer)),
            ClaimOutcome::DoneWithoutBody { status } => Err(done_too_long(status)),
            ClaimOutcome::Pending { holder } => Err(pending(&holder)),
            ClaimOutcome::Unknown { holder } => Err(unknown(&holder)),
            ClaimOutcome::KeyReused => Err(mismatch()),
        }
    }
}

/// Digest by which two requests with the same idempotency key are told apart.
pub(crate) fn request_digest(parts: &[&[u8]]) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    *hasher.finalize().as_bytes()
}

fn not_claimed(error: &ClaimError) -> Refusal {
    Refusal::not_run(RefusalKind::Unavailable, error.to_string()).retry_after(error.retry_after())
}

fn pending(holder: &str) -> Refusal {
    Refusal::unknown(
        RefusalKind::Conflict,
        format!(
            "a request with this Idempotency-Key is held by instance {holder:?} and may have run; \
             send it again with the same key for its answer, or check with the service"
        ),
    )
    .retry_after(PENDING_RETRY)
}

fn unknown(holder: &str) -> Refusal {
    Refusal::unknown(
        RefusalKind::Conflict,
        format!(
            "an earlier request with this Idempotency-Key got no answer at instance {holder:?} and \
             may have run; check with the service before ordering again under another key"
        ),
    )
}

fn done_too_long(status: u16) -> Refusal {
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

pub(crate) fn broken(error: &JoinError) -> Refusal {
    log::error!("a request under a claim ended early: {error}");
    Refusal::unknown(
        RefusalKind::TargetFailed,
        "the request broke off inside this instance; check with the service before ordering again",
    )
}

fn mismatch() -> Refusal {
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
    .retry_after(PENDING_RETRY)
}
