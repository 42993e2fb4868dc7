//! Claims of one instance.

use {
    crate::{
        Claim, ClaimError, ClaimOutcome, ClaimSettings, StoredAnswer,
        background::{Background, Step},
        record::{AttemptState, ClaimRecord, claim_key},
        shared_lease::SharedLease,
        write_group::{GroupError, WriteGroup},
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

/// When to come back after the key-value service did not take a claim.
const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_secs(1);
/// When to come back after a claim that must be released first.
const UNSETTLED_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Makes claims for one instance. Clones share their writes and leases.
#[derive(Debug)]
pub struct Claims<Kv> {
    shared: Arc<Shared<Kv>>,
}

#[derive(Debug)]
struct Shared<Kv> {
    settings: ClaimSettings,
    writes: WriteGroup<Kv>,
    leases: SharedLease<Kv>,
    background: Background,
}

impl<Kv> Clone for Claims<Kv> {
    fn clone(&self) -> Self {
        Self {
            shared: self.shared.clone(),
        }
    }
}

/// A claim that is being made.
#[derive(Debug)]
struct Attempt {
    key: String,
    record: ClaimRecord,
    started_at: Instant,
    lease: LeaseId,
}

impl Attempt {
    fn won(&self, mod_revision: Revision, max_send_delay: Duration) -> Claim {
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
    /// Makes claims at `kv`.
    #[must_use]
    pub fn new(kv: Kv, settings: ClaimSettings) -> Self {
        let leases = SharedLease::new(kv.clone(), settings.retention, settings.lease_reuse);
        Self {
            shared: Arc::new(Shared {
                writes: WriteGroup::new(kv),
                leases,
                background: Background::new(settings.background_timeout),
                settings,
            }),
        }
    }

    /// Tries to claim a request of `account` with its idempotency key and the digest of all that
    /// makes up the request. If the caller stops waiting, a claim that was won is released.
    ///
    /// # Errors
    /// [`ClaimError`] if the claim could not be made: the request was not run and must not be.
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
            let claimed = claims.attempt(key, digest).await;
            if let Err(Ok(ClaimOutcome::Acquired(unwanted))) = sender.send(claimed) {
                claims.release(unwanted).await;
            }
        });
        let stopped = unavailable("the task that makes the claim ended");
        receiver.await.unwrap_or(Err(stopped))
    }

    /// Gives up a claim of which nothing ran, so that a retry may run. Goes on in the background
    /// if the key-value service doesn't answer soon.
    pub async fn release(&self, claim: Claim) {
        self.soon(self.start_release(claim.key, claim.nonce)).await;
    }

    /// Stores the answer of a request that ran. Goes on in the background if the key-value service
    /// doesn't answer soon.
    pub async fn complete(&self, claim: Claim, answer: StoredAnswer) {
        let max_body_bytes = self.shared.settings.max_stored_body_bytes;
        self.finish(claim, AttemptState::done(answer, max_body_bytes))
            .await;
    }

    /// Records that an attempt ended without a known result; the request is never run again.
    pub async fn mark_unknown(&self, claim: Claim) {
        self.finish(claim, AttemptState::Unknown).await;
    }

    /// Waits until no write goes on in the background, as before a shutdown.
    pub async fn wait_idle(&self) {
        self.shared.background.wait_idle().await;
    }

    async fn attempt(&self, key: String, digest: String) -> Result<ClaimOutcome, ClaimError> {
        let shared = &self.shared;
        let started_at = Instant::now();
        let attempt = Attempt {
            key,
            record: ClaimRecord {
                nonce: hex::encode(rand::random::<[u8; 16]>()),
                holder: shared.settings.instance.clone(),
                request_digest: digest,
                state: AttemptState::Claimed,
            },
            started_at,
            lease: shared.lease().await?,
        };
        match shared.create(&attempt).await {
            Ok(outcome) if outcome.succeeded => {
                let claim = attempt.won(outcome.revision, shared.settings.max_send_delay);
                Ok(ClaimOutcome::Acquired(claim))
            }
            Ok(outcome) => self.settle_with(&attempt, outcome.pairs.first()),
            Err(GroupError::Full(queued_count)) => Err(ClaimError::Overloaded {
                queued_count,
                retry_after: UNAVAILABLE_RETRY_AFTER,
            }),
            Err(GroupError::Kv(KvError::Unknown { .. })) => self.settle(&attempt).await,
            Err(GroupError::Kv(error)) => {
                if matches!(error, KvError::Refused { .. }) {
                    shared.leases.forget(attempt.lease).await;
                }
                Err(unavailable(&error.to_string()))
            }
        }
    }

    /// Finds out whether a claim whose answer was lost was recorded.
    async fn settle(&self, attempt: &Attempt) -> Result<ClaimOutcome, ClaimError> {
        match self.shared.read(&attempt.key).await {
            Ok(pair) => self.settle_with(attempt, pair.as_ref()),
            Err(error) => Err(self.unsettled(attempt, &error.to_string())),
        }
    }

    /// Decides by the pair that holds the key now.
    fn settle_with(
        &self,
        attempt: &Attempt,
        pair: Option<&KvPair>,
    ) -> Result<ClaimOutcome, ClaimError> {
        let Some(pair) = pair else {
            return Err(self.unsettled(attempt, "the claim is not there yet"));
        };
        let Some(record) = ClaimRecord::parse(pair) else {
            return Err(unavailable("the claim that holds the key cannot be read"));
        };
        if record.nonce != attempt.record.nonce {
            return Ok(record.into_claimed(&attempt.record.request_digest));
        }
        let max_send_delay = self.shared.settings.max_send_delay;
        Ok(ClaimOutcome::Acquired(
            attempt.won(pair.mod_revision, max_send_delay),
        ))
    }

    fn unsettled(&self, attempt: &Attempt, reason: &str) -> ClaimError {
        let nonce = attempt.record.nonce.clone();
        drop(self.start_release(attempt.key.clone(), nonce));
        ClaimError::Unconfirmed {
            reason: reason.to_owned(),
            retry_after: UNSETTLED_RETRY_AFTER,
        }
    }

    /// Goes on releasing until the bound has passed, also while the claim isn't there: the call
    /// that creates it may still take effect.
    fn start_release(&self, key: String, nonce: String) -> Option<oneshot::Receiver<()>> {
        let shared = self.shared.clone();
        self.shared.background.start(move || {
            let (shared, key, nonce) = (shared.clone(), key.clone(), nonce.clone());
            async move { shared.try_release(&key, &nonce).await }
        })
    }

    async fn finish(&self, claim: Claim, state: AttemptState) {
        let shared = self.shared.clone();
        let record = ClaimRecord::of(&claim, &shared.settings.instance, state);
        let value = record.encode();
        let claim = Arc::new(claim);
        let ended = self.shared.background.start(move || {
            let (shared, claim, value) = (shared.clone(), claim.clone(), value.clone());
            async move { shared.try_finish(&claim, &value).await }
        });
        self.soon(ended).await;
    }

    /// Waits for the end of a write in the background, but not for long.
    async fn soon(&self, ended: Option<oneshot::Receiver<()>>) {
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
    async fn lease(&self) -> Result<LeaseId, ClaimError> {
        match timeout(self.settings.step_timeout, self.leases.lease()).await {
            Ok(Ok(lease)) => Ok(lease),
            Ok(Err(error)) => Err(unavailable(&error.to_string())),
            Err(_) => Err(unavailable("granting a lease timed out")),
        }
    }

    async fn create(&self, attempt: &Attempt) -> Result<TxnOutcome, GroupError> {
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

    /// Deletes a claim if it is still this attempt's.
    async fn try_release(&self, key: &str, nonce: &str) -> Step {
        let Ok(Some(pair)) = self.read(key).await else {
            return Step::Again;
        };
        let own = ClaimRecord::parse(&pair).is_some_and(|record| record.nonce == nonce);
        if !own {
            return Step::Finished;
        }
        let delete = Txn {
            compares: vec![Compare::ModRevision(key.to_owned(), pair.mod_revision)],
            success: vec![Op::Delete(key.to_owned())],
            ..Txn::default()
        };
        match self.run(key, delete).await {
            Ok(_) => Step::Finished,
            Err(_) => Step::Again,
        }
    }

    /// Writes the outcome over the claim. A repetition changes nothing, since the first write
    /// changed the revision that is compared.
    async fn try_finish(&self, claim: &Claim, value: &Bytes) -> Step {
        let put = Op::Put(claim.key.clone(), value.clone(), Some(claim.lease));
        let replace = Txn {
            compares: vec![Compare::ModRevision(claim.key.clone(), claim.mod_revision)],
            success: vec![put],
            ..Txn::default()
        };
        match self.run(&claim.key, replace).await {
            Ok(_) => Step::Finished,
            Err(GroupError::Kv(KvError::Refused { reason })) => {
                log::warn!("outcome of a claim is not stored: {reason}");
                Step::Finished
            }
            Err(_) => Step::Again,
        }
    }

    async fn run(&self, key: &str, txn: Txn) -> Result<TxnOutcome, GroupError> {
        let running = self.writes.run(key, txn);
        match timeout(self.settings.step_timeout, running).await {
            Ok(outcome) => outcome,
            Err(_) => Err(GroupError::Kv(KvError::Unknown {
                reason: "timed out".to_owned(),
            })),
        }
    }
}

fn into_kv_error(error: GroupError) -> KvError {
    match error {
        GroupError::Kv(error) => error,
        GroupError::Full(queued_count) => KvError::Unknown {
            reason: format!("{queued_count} transactions wait"),
        },
    }
}

fn unavailable(reason: &str) -> ClaimError {
    ClaimError::Unavailable {
        reason: reason.to_owned(),
        retry_after: UNAVAILABLE_RETRY_AFTER,
    }
}
