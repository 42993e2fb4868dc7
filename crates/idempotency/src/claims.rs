//! Acquires and ends the claims of one instance.

use {
    crate::{
        Claim, ClaimError, ClaimOutcome, ClaimSettings, StoredAnswer,
        background_writes::{BackgroundWrites, WriteStatus},
        record::{AttemptState, ClaimRecord, claim_key},
        shared_lease::SharedLease,
        write_batcher::{BatchError, WriteBatcher},
    },
    bytes::Bytes,
    catalog::{ClientAccountId, Revision},
    keyvalue::{Compare, KeyValue, KvError, KvPair, LeaseId, Op, Txn, TxnOutcome},
    std::{sync::Arc, time::Duration},
    tokio::{
        sync::oneshot,
        time::{Instant, timeout},
    },
};

/// Delay after which a caller may retry when the key-value service did not accept a claim.
const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Delay after which a caller may retry when it is unknown whether its claim was recorded, so that
/// the claim is released first.
const UNCONFIRMED_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Acquires and ends claims for one instance. Clones share their writes and leases.
#[derive(Debug)]
pub struct Claims<Kv> {
    shared: Arc<Shared<Kv>>,
}

#[derive(Debug)]
struct Shared<Kv> {
    settings: ClaimSettings,
    writes: WriteBatcher<Kv>,
    lease: SharedLease<Kv>,
    background_writes: BackgroundWrites,
}

impl<Kv> Clone for Claims<Kv> {
    fn clone(&self) -> Self {
        Self {
            shared: self.shared.clone(),
        }
    }
}

/// An attempt to acquire a claim.
#[derive(Debug)]
struct ClaimAttempt {
    key: String,
    record: ClaimRecord,
    started_at: Instant,
    lease: LeaseId,
}

impl ClaimAttempt {
    /// Returns the claim that this attempt acquired by the write at `mod_revision`.
    fn acquired_claim(&self, mod_revision: Revision, max_send_delay: Duration) -> Claim {
        Claim {
            key: self.key.clone(),
            nonce: self.record.nonce.clone(),
            request_digest: self.record.request_digest.clone(),
            mod_revision,
            lease: self.lease,
            send_by: self.started_at + max_send_delay,
        }
    }
}

impl<Kv> Claims<Kv>
where
    Kv: KeyValue,
{
    /// Creates a handle that stores claims in `kv`.
    #[must_use]
    pub fn new(kv: Kv, settings: ClaimSettings) -> Self {
        let lease = SharedLease::new(kv.clone(), settings.retention, settings.lease_reuse);
        Self {
            shared: Arc::new(Shared {
                writes: WriteBatcher::new(kv),
                lease,
                background_writes: BackgroundWrites::new(settings.background_timeout),
                settings,
            }),
        }
    }

    /// Tries to claim a request of `account` under its idempotency key. `request_digest` covers
    /// everything that makes up the request. If the caller stops waiting, an acquired claim is
    /// released.
    ///
    /// # Errors
    /// Returns [`ClaimError`] if the claim could not be made. The request has not run and must not
    /// be run.
    pub async fn claim(
        &self,
        account: &ClientAccountId,
        idempotency_key: &str,
        request_digest: [u8; 32],
    ) -> Result<ClaimOutcome, ClaimError> {
        let key = claim_key(account, idempotency_key);
        let digest = hex::encode(request_digest);
        let (sender, receiver) = oneshot::channel();
        let claims = self.clone();
        tokio::spawn(async move {
            let outcome = claims.try_claim(key, digest).await;
            if let Err(Ok(ClaimOutcome::Acquired(unwanted))) = sender.send(outcome) {
                claims.release(unwanted).await;
            }
        });
        let stopped = unavailable("the task that makes the claim ended");
        receiver.await.unwrap_or(Err(stopped))
    }

    /// Releases a claim whose request has not run, so that a retry may run it. Continues in the
    /// background if the key-value service does not answer soon.
    pub async fn release(&self, claim: Claim) {
        self.wait_briefly(self.start_release(claim.key, claim.nonce))
            .await;
    }

    /// Stores the answer of a request that ran, without its body if that is longer than
    /// [`ClaimSettings::max_stored_body_bytes`]. Continues in the background if the key-value service
    /// does not answer soon.
    pub async fn complete(&self, claim: Claim, answer: StoredAnswer) {
        let max_body_bytes = self.shared.settings.max_stored_body_bytes;
        self.write_outcome(claim, AttemptState::done(answer, max_body_bytes))
            .await;
    }

    /// Records that an attempt ended with an unknown result. The request is then not run again while
    /// the claim is kept, which is at least [`ClaimSettings::retention`]. Continues in the background
    /// if the key-value service does not answer soon.
    pub async fn mark_unknown(&self, claim: Claim) {
        self.write_outcome(claim, AttemptState::Unknown).await;
    }

    /// Waits until no write is running in the background, for example before a shutdown.
    pub async fn wait_idle(&self) {
        self.shared.background_writes.wait_idle().await;
    }

    async fn try_claim(&self, key: String, digest: String) -> Result<ClaimOutcome, ClaimError> {
        let shared = &self.shared;
        let started_at = Instant::now();
        let attempt = ClaimAttempt {
            key,
            record: ClaimRecord {
                nonce: hex::encode(rand::random::<[u8; 16]>()),
                holder: shared.settings.instance.clone(),
                request_digest: digest,
                state: AttemptState::Claimed,
            },
            started_at,
            lease: shared.current_lease().await?,
        };
        match shared.create(&attempt).await {
            Ok(outcome) if outcome.succeeded => {
                let claim =
                    attempt.acquired_claim(outcome.revision, shared.settings.max_send_delay);
                Ok(ClaimOutcome::Acquired(claim))
            }
            Ok(outcome) => self.outcome_from_pair(&attempt, outcome.pairs.first()),
            Err(BatchError::QueueFull(queued_count)) => Err(ClaimError::Overloaded {
                queued_count,
                retry_after: UNAVAILABLE_RETRY_AFTER,
            }),
            Err(BatchError::Kv(KvError::Unknown { .. })) => self.read_back(&attempt).await,
            Err(BatchError::Kv(error)) => {
                if matches!(error, KvError::Refused { .. }) {
                    // The lease may have expired, so later claims get a new one.
                    shared.lease.invalidate(attempt.lease).await;
                }
                Err(unavailable(&error.to_string()))
            }
        }
    }

    /// Reads which claim is stored after the answer to this attempt's write was lost.
    async fn read_back(&self, attempt: &ClaimAttempt) -> Result<ClaimOutcome, ClaimError> {
        match self.shared.read(&attempt.key).await {
            Ok(pair) => self.outcome_from_pair(attempt, pair.as_ref()),
            Err(error) => Err(self.release_unconfirmed(attempt, &error.to_string())),
        }
    }

    /// Returns the outcome that follows from the pair stored under the claim's key. This attempt may
    /// have written it itself. A malformed record may belong to another attempt, so the request is
    /// not run.
    fn outcome_from_pair(
        &self,
        attempt: &ClaimAttempt,
        pair: Option<&KvPair>,
    ) -> Result<ClaimOutcome, ClaimError> {
        let Some(pair) = pair else {
            return Err(self.release_unconfirmed(
                attempt,
                "the claim is absent, but its write may still take effect",
            ));
        };
        let Some(record) = ClaimRecord::parse(pair) else {
            return Err(unavailable("the claim that holds the key is malformed"));
        };
        if record.nonce != attempt.record.nonce {
            return Ok(record.into_outcome(&attempt.record.request_digest));
        }
        let max_send_delay = self.shared.settings.max_send_delay;
        Ok(ClaimOutcome::Acquired(
            attempt.acquired_claim(pair.mod_revision, max_send_delay),
        ))
    }

    /// Starts the release of a claim that may have been recorded, and returns the error to report.
    /// Nothing waits for the release to end. If too many writes are running already, none is started,
    /// and a recorded claim stays pending until it expires.
    fn release_unconfirmed(&self, attempt: &ClaimAttempt, reason: &str) -> ClaimError {
        let nonce = attempt.record.nonce.clone();
        drop(self.start_release(attempt.key.clone(), nonce));
        ClaimError::Unconfirmed {
            reason: reason.to_owned(),
            retry_after: UNCONFIRMED_RETRY_AFTER,
        }
    }

    /// Starts to release a claim in the background. The release is attempted until
    /// [`ClaimSettings::background_timeout`] has passed even while the claim does not exist, since the
    /// call that creates it may still take effect. The returned receiver is notified at the end;
    /// dropping it does not stop the release.
    fn start_release(&self, key: String, nonce: String) -> Option<oneshot::Receiver<()>> {
        let shared = self.shared.clone();
        self.shared.background_writes.start(move || {
            let (shared, key, nonce) = (shared.clone(), key.clone(), nonce.clone());
            async move { shared.try_release(&key, &nonce).await }
        })
    }

    /// Starts to write the outcome of a claim in the background and waits briefly for it.
    async fn write_outcome(&self, claim: Claim, state: AttemptState) {
        let shared = self.shared.clone();
        let record = ClaimRecord::for_claim(&claim, &shared.settings.instance, state);
        let value = record.encode();
        let claim = Arc::new(claim);
        let ended = self.shared.background_writes.start(move || {
            let (shared, claim, value) = (shared.clone(), claim.clone(), value.clone());
            async move { shared.try_write_outcome(&claim, &value).await }
        });
        self.wait_briefly(ended).await;
    }

    /// Waits for a background write to end, but at most [`ClaimSettings::finish_wait`]. `None` means
    /// that it was not started, so the claim stays pending until it expires.
    async fn wait_briefly(&self, ended: Option<oneshot::Receiver<()>>) {
        let Some(ended) = ended else {
            log::warn!("claim stays pending: too many writes in the background");
            return;
        };
        let _ = timeout(self.shared.settings.finish_wait, ended).await;
    }
}

impl<Kv> Shared<Kv>
where
    Kv: KeyValue,
{
    async fn current_lease(&self) -> Result<LeaseId, ClaimError> {
        match timeout(self.settings.step_timeout, self.lease.current()).await {
            Ok(Ok(lease)) => Ok(lease),
            Ok(Err(error)) => Err(unavailable(&error.to_string())),
            Err(_) => Err(unavailable("granting a lease timed out")),
        }
    }

    /// Writes the attempt's claim if its key is absent, and otherwise reads the stored one.
    async fn create(&self, attempt: &ClaimAttempt) -> Result<TxnOutcome, BatchError> {
        let key = attempt.key.clone();
        let value = attempt.record.encode();
        let create = Txn {
            compares: vec![Compare::Absent(key.clone())],
            success: vec![Op::Put(key.clone(), value, Some(attempt.lease))],
            failure: vec![Op::Get(key)],
        };
        self.run(&attempt.key, create).await
    }

    async fn read(&self, key: &str) -> Result<Option<KvPair>, KvError> {
        let read = Txn {
            success: vec![Op::Get(key.to_owned())],
            ..Txn::default()
        };
        let outcome = self.run(key, read).await.map_err(into_kv_error)?;
        Ok(outcome.pairs.into_iter().next())
    }

    /// Deletes the claim if it still belongs to the attempt with this nonce. An absent claim is looked
    /// for again later, since the write that creates it may still take effect; the same happens after
    /// a deletion whose answer was lost.
    async fn try_release(&self, key: &str, nonce: &str) -> WriteStatus {
        let Ok(Some(pair)) = self.read(key).await else {
            return WriteStatus::Retry;
        };
        let is_own = ClaimRecord::parse(&pair).is_some_and(|record| record.nonce == nonce);
        if !is_own {
            return WriteStatus::Finished;
        }
        let delete = Txn {
            compares: vec![Compare::ModRevision(key.to_owned(), pair.mod_revision)],
            success: vec![Op::Delete(key.to_owned())],
            ..Txn::default()
        };
        match self.run(key, delete).await {
            Ok(_) => WriteStatus::Finished,
            Err(_) => WriteStatus::Retry,
        }
    }

    /// Overwrites the claim with its outcome. A retry after a successful write changes nothing,
    /// since that write changed the revision that is compared.
    async fn try_write_outcome(&self, claim: &Claim, value: &Bytes) -> WriteStatus {
        let put = Op::Put(claim.key.clone(), value.clone(), Some(claim.lease));
        let replace = Txn {
            compares: vec![Compare::ModRevision(claim.key.clone(), claim.mod_revision)],
            success: vec![put],
            ..Txn::default()
        };
        match self.run(&claim.key, replace).await {
            Ok(_) => WriteStatus::Finished,
            Err(BatchError::Kv(KvError::Refused { reason })) => {
                log::warn!("outcome of a claim is not stored: {reason}");
                WriteStatus::Finished
            }
            Err(_) => WriteStatus::Retry,
        }
    }

    /// Runs a transaction on `key`. After the timeout it may still take effect.
    async fn run(&self, key: &str, txn: Txn) -> Result<TxnOutcome, BatchError> {
        let running = self.writes.run(key, txn);
        match timeout(self.settings.step_timeout, running).await {
            Ok(outcome) => outcome,
            Err(_) => Err(BatchError::Kv(KvError::Unknown {
                reason: "timed out".to_owned(),
            })),
        }
    }
}

/// Converts the error of a read. A full queue becomes [`KvError::Unknown`] although nothing was sent:
/// for a read it makes no difference.
fn into_kv_error(error: BatchError) -> KvError {
    match error {
        BatchError::Kv(error) => error,
        BatchError::QueueFull(queued_count) => KvError::Unknown {
            reason: format!("{queued_count} transactions are queued already"),
        },
    }
}

fn unavailable(reason: &str) -> ClaimError {
    ClaimError::Unavailable {
        reason: reason.to_owned(),
        retry_after: UNAVAILABLE_RETRY_AFTER,
    }
}
