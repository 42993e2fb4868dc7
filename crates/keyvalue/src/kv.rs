//! The key-value service as the system uses it.

use {
    bytes::Bytes,
    catalog::Revision,
    futures::Stream,
    snafu::Snafu,
    std::{future::Future, time::Duration},
};

/// Id of a lease at the key-value service.
pub type LeaseId = i64;

/// One key with its value.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KvPair {
    /// Key.
    pub key: String,
    /// Value.
    pub value: Bytes,
    /// Revision at which the key was created.
    pub create_revision: Revision,
    /// Revision of the last change of the key.
    pub mod_revision: Revision,
}

/// Keys and the revision they hold at.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Range {
    /// Pairs in key order.
    pub pairs: Vec<KvPair>,
    /// Revision of the service when it answered.
    pub revision: Revision,
}

/// Condition on one key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Compare {
    /// The key does not exist.
    Absent(String),
    /// The key was last changed at this revision.
    ModRevision(String, Revision),
    /// The key was created at this revision.
    CreateRevision(String, Revision),
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

/// If all compares hold, `success` is carried out, else `failure`.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Txn {
    /// Conditions.
    pub compares: Vec<Compare>,
    /// Steps if every condition holds.
    pub success: Vec<Op>,
    /// Steps otherwise.
    pub failure: Vec<Op>,
}

/// What a transaction did.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct TxnOutcome {
    /// Whether every condition held.
    pub succeeded: bool,
    /// Revision of the service after the transaction.
    pub revision: Revision,
    /// Pairs read by the `Get` steps that ran, in order; missing keys give nothing.
    pub pairs: Vec<KvPair>,
    /// Outcomes of the nested transactions that ran, in order.
    pub nested: Vec<TxnOutcome>,
}

/// A lease that was granted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Lease {
    /// Id.
    pub id: LeaseId,
    /// Time to live that the service granted.
    pub ttl: Duration,
}

/// One change seen by a watch.
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
    /// No byte of the call left; nothing took effect.
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
    /// The call was sent and the answer is missing; it may have taken effect.
    #[snafu(display(
        "key-value service gave no answer ({reason}); the call may have taken effect, read the \
         key before trying again"
    ))]
    Unknown {
        /// What happened to the answer.
        reason: String,
    },
    /// The watched revision is no longer kept; read the range anew.
    #[snafu(display("revision {revision} was compacted; read the range again"))]
    Compacted {
        /// Oldest revision still kept.
        revision: Revision,
    },
    /// The service refused the call; nothing took effect.
    #[snafu(display("key-value service refused the call: {reason}; correct the call"))]
    Refused {
        /// Its words.
        reason: String,
    },
}

/// The key-value service: compare-and-swap, leases and watches.
pub trait KeyValue: Clone + Send + Sync + 'static {
    /// Reads every key that starts with `prefix`.
    fn range(&self, prefix: &str) -> impl Future<Output = Result<Range, KvError>> + Send;

    /// Runs a transaction. The call is never repeated by the implementation.
    fn txn(&self, txn: Txn) -> impl Future<Output = Result<TxnOutcome, KvError>> + Send;

    /// Grants a lease.
    fn grant(&self, ttl: Duration) -> impl Future<Output = Result<Lease, KvError>> + Send;

    /// Renews a lease; `Refused` if it has lapsed.
    fn keep_alive(&self, lease: LeaseId) -> impl Future<Output = Result<Lease, KvError>> + Send;

    /// Revokes a lease and deletes its keys.
    fn revoke(&self, lease: LeaseId) -> impl Future<Output = Result<(), KvError>> + Send;

    /// Watches every key that starts with `prefix`, from `from` on. The stream ends after an error.
    fn watch(
        &self,
        prefix: &str,
        from: Revision,
    ) -> impl Stream<Item = Result<Event, KvError>> + Send + use<Self>;
}
