//! A claim and what came of trying to make one.

use {
    bytes::Bytes,
    catalog::{InstanceId, Revision},
    keyvalue::LeaseId,
    tokio::time::Instant,
};

/// The right to run one request once.
///
/// A claim that is dropped stays pending until its retention is over. Hand it to
/// [`crate::Claims::release`], [`crate::Claims::complete`] or [`crate::Claims::mark_unknown`], and
/// run the attempt in a task that does not end with its caller's connection.
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
    /// Whether the request may still be sent. Ask immediately before the first byte: once this is
    /// false, the claim may lapse before the request's end, so it must be released instead.
    ///
    /// Only the monotonic clock counts.
    #[must_use]
    pub fn may_send(&self) -> bool {
        Instant::now() < self.send_by
    }
}

/// An answer that is stored with its claim and given to repetitions of the request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: String,
    /// Whole body.
    pub body: Bytes,
}

/// What came of trying to claim a request.
#[derive(Debug, Eq, PartialEq)]
pub enum ClaimOutcome {
    /// The request may be run, once.
    Acquired(Claim),
    /// It ran; this is its answer.
    Done(StoredAnswer),
    /// It ran with this status; its answer was too long to be stored.
    DoneWithoutBody {
        /// HTTP status.
        status: u16,
    },
    /// Another attempt holds the claim and may be running.
    Pending {
        /// Instance of that attempt.
        holder: InstanceId,
    },
    /// Another attempt ended without a known result; the request is never run again.
    Unknown {
        /// Instance of that attempt.
        holder: InstanceId,
    },
    /// The idempotency key was used with another request.
    KeyReused,
}
