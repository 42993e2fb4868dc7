//! A claim, and the outcome of trying to acquire one.

use {
    bytes::Bytes,
    catalog::{InstanceId, Revision},
    keyvalue::LeaseId,
    tokio::time::Instant,
};

/// The right to run one request once.
///
/// A claim that is dropped stays pending until its retention has passed. Pass it to
/// [`crate::Claims::release`], [`crate::Claims::complete`] or [`crate::Claims::mark_unknown`], and
/// run the attempt in a task that does not end with the caller's connection.
#[derive(Debug, Eq, PartialEq)]
pub struct Claim {
    pub(crate) key: String,
    pub(crate) nonce: String,
    pub(crate) request_digest: String,
    pub(crate) mod_revision: Revision,
    pub(crate) lease: LeaseId,
    pub(crate) send_by: Instant,
}

impl Claim {
    /// Returns whether the request may still be sent. Call it immediately before sending the first
    /// byte. Once it returns false, the claim may expire before the request ends, so the claim must
    /// be released instead.
    ///
    /// It relies only on the monotonic clock.
    #[must_use]
    pub fn may_send(&self) -> bool {
        Instant::now() < self.send_by
    }
}

/// An answer that is stored with its claim and replayed to retries of the request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredAnswer {
    /// HTTP status of the answer.
    pub status: u16,
    /// Content type of the body.
    pub content_type: String,
    /// The whole body.
    pub body: Bytes,
}

/// Outcome of trying to claim a request.
#[derive(Debug, Eq, PartialEq)]
pub enum ClaimOutcome {
    /// This attempt has the claim and may run the request once.
    Acquired(Claim),
    /// The request ran, with this answer.
    Done(StoredAnswer),
    /// The request ran with this status. Its body was too long to be stored.
    DoneWithoutBody {
        /// HTTP status of the answer.
        status: u16,
    },
    /// Another attempt holds the claim and may be running the request.
    Pending {
        /// Instance that made the other attempt.
        holder: InstanceId,
    },
    /// Another attempt ended with an unknown result. The request is not run again while that claim is
    /// kept.
    Unknown {
        /// Instance that made the other attempt.
        holder: InstanceId,
    },
    /// The idempotency key was already used for a different request.
    KeyReused,
}
