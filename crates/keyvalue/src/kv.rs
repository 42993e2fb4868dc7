//! The interface of the key-value service: data types, errors and the [`KeyValue`] trait.

use {
    crate::Incarnation,
    bytes::Bytes,
    catalog::Revision,
    futures::Stream,
    snafu::Snafu,
    std::{future::Future, time::Duration},
    tokio::sync::watch,
};

/// Id that the key-value service assigned to a lease.
pub type LeaseId = i64;

/// A key with its value and revisions.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KvPair {
    /// Name of the key.
    pub key: String,
    /// Value as stored.
    pub value: Bytes,
    /// Revision at which the key was created.
    pub create_revision: Revision,
    /// Revision of the last change of the key.
    pub mod_revision: Revision,
}

/// Result of a range read: the matching keys and the revision of the answer.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Range {
    /// Matching pairs, sorted by key.
    pub pairs: Vec<KvPair>,
    /// Revision of the service when it answered.
    pub revision: Revision,
}

/// A condition of a transaction, on one key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Compare {
    /// The key does not exist.
    Absent(String),
    /// The key was last changed at this revision.
    ModRevision(String, Revision),
    /// The key was created at this revision.
    CreateRevision(String, Revision),
}

impl Compare {
    /// Condition that a key is still as it was read: last changed at `revision`, or absent if that is `None`.
    #[must_use]
    pub fn unchanged(key: String, revision: Option<Revision>) -> Self {
        match revision {
            Some(revision) => Self::ModRevision(key, revision),
            None => Self::Absent(key),
        }
    }
}

/// One step of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Op {
    /// Writes a key, optionally bound to a lease.
    Put(String, Bytes, Option<LeaseId>),
    /// Deletes a key.
    Delete(String),
    /// Reads a key.
    Get(String),
    /// Runs a nested transaction; several independent ones can share one call.
    Txn(Txn),
}

/// A transaction: runs `success` atomically if every compare holds, otherwise `failure`.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Txn {
    /// Conditions, all of which must hold for `success` to run.
    pub compares: Vec<Compare>,
    /// Steps that run if every condition holds.
    pub success: Vec<Op>,
    /// Steps that run otherwise.
    pub failure: Vec<Op>,
}

/// Result of a transaction.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct TxnOutcome {
    /// Whether every condition held.
    pub succeeded: bool,
    /// Revision of the service after the transaction.
    pub revision: Revision,
    /// Pairs read by the `Get` steps that ran, in order. Missing keys are left out.
    pub pairs: Vec<KvPair>,
    /// Outcomes of the nested transactions that ran, in order.
    pub nested: Vec<TxnOutcome>,
}

/// A lease that the service granted or renewed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Lease {
    /// Id of the lease.
    pub id: LeaseId,
    /// Time to live that the service granted; the lease expires unless renewed within it.
    pub ttl: Duration,
}

/// One event of a watch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// A key was written.
    Put(KvPair),
    /// A key was deleted at this revision.
    Delete(String, Revision),
    /// All changes up to and including this revision have been delivered.
    Progress(Revision),
}

/// A call to the key-value service failed.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(visibility(pub))]
pub enum KvError {
    /// No byte of the call was sent; nothing took effect.
    #[snafu(display(
        "key-value service {endpoint} cannot be reached: {reason}; check that it runs and that \
         --kv-endpoints names it"
    ))]
    Unreachable {
        /// Address that was tried.
        endpoint: String,
        /// What the connection reported.
        reason: String,
    },
    /// The call was sent but got no usable answer; it may have taken effect.
    #[snafu(display(
        "key-value service gave no answer ({reason}); the call may have taken effect, read the \
         key before trying again"
    ))]
    Unknown {
        /// Why the answer is missing or unusable.
        reason: String,
    },
    /// The watched revision was compacted; read the range again and watch from its revision.
    #[snafu(display("revision {revision} was compacted; read the range again"))]
    Compacted {
        /// Oldest revision still kept.
        revision: Revision,
    },
    /// The service came back from an older copy of its data, as another incarnation. The call may have
    /// taken effect in either; revisions and leases from before mean nothing any more.
    #[snafu(display(
        "key-value service came back from an older copy, as incarnation {number}; read everything \
         again and request a new lease"
    ))]
    Restored {
        /// Number that the service names now; 0 if it names none.
        number: u64,
    },
    /// The service refused the call; nothing took effect.
    #[snafu(display("key-value service refused the call: {reason}; correct the call"))]
    Refused {
        /// Reason that the service gave.
        reason: String,
    },
}

/// A key-value service with compare-and-swap transactions, leases and watches.
///
/// Calls that are sent in one incarnation and answered in another fail with [`KvError::Restored`], and
/// so do watches that were opened in an earlier one.
pub trait KeyValue: Clone + Send + Sync + 'static {
    /// Returns the incarnation of the service, as seen in the answers to this client, and is notified
    /// when a new one begins.
    fn incarnation(&self) -> watch::Receiver<Incarnation>;

    /// Records that the service has reached `revision` in `incarnation`, as another client of it has learned. An
    /// answer with a lower one to a later call shows that the service came back from an older copy.
    fn note_revision(&self, revision: Revision, incarnation: Incarnation) {
        let _ = (revision, incarnation);
    }

    /// Reads every key that starts with `prefix`.
    fn range(&self, prefix: &str) -> impl Future<Output = Result<Range, KvError>> + Send;

    /// Runs a transaction. Implementations never retry it once it may have been sent, since it may
    /// have taken effect.
    fn txn(&self, txn: Txn) -> impl Future<Output = Result<TxnOutcome, KvError>> + Send;

    /// Requests a lease that expires after `ttl` unless it is renewed.
    fn grant(&self, ttl: Duration) -> impl Future<Output = Result<Lease, KvError>> + Send;

    /// Renews a lease; fails with [`KvError::Refused`] if it has expired.
    fn keep_alive(&self, lease: LeaseId) -> impl Future<Output = Result<Lease, KvError>> + Send;

    /// Revokes a lease and deletes its keys.
    fn revoke(&self, lease: LeaseId) -> impl Future<Output = Result<(), KvError>> + Send;

    /// Watches every key that starts with `prefix` for changes from revision `from` on, inclusive.
    /// The stream ends after the first error.
    fn watch(
        &self,
        prefix: &str,
        from: Revision,
    ) -> impl Stream<Item = Result<Event, KvError>> + Send + use<Self>;

    /// Watches like [`Self::watch`], and reports progress at least every `wait` while there are no
    /// changes, if the service can be told so.
    fn watch_within(
        &self,
        prefix: &str,
        from: Revision,
        wait: Duration,
    ) -> impl Stream<Item = Result<Event, KvError>> + Send + use<Self> {
        let _ = wait;
        self.watch(prefix, from)
    }
}
