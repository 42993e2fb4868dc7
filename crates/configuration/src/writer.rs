//! Commits changes to the configuration by compare-and-swap.

use {
    crate::{
        ApplyError, ApplyOutcome, Change, Snapshot,
        change_record::{ChangeRecord, ChangeState, changes_digest},
        keys::{ABSENT, CONFIG_PREFIX, LAST_CHANGE_KEY, change_key},
        transaction_plan::{MAX_PART_OBJECTS_COUNT, TransactionPlan},
    },
    catalog::InvalidField,
    keyvalue::{Compare, KeyValue, KvError, KvPair, LeaseId, Op, Txn, TxnOutcome},
    std::time::Duration,
    tokio::time::{sleep, timeout},
};

/// How long the record of a change is kept. Within this time a repeated request whose answer was
/// lost gets the original outcome.
const RECORD_TTL: Duration = Duration::from_hours(1);
/// Maximum number of attempts to commit a change while other changes are committed first.
const MAX_ATTEMPTS_COUNT: usize = 64;
/// Maximum number of attempts to find out the outcome of a transaction whose answer was lost.
const MAX_RESOLVE_ATTEMPTS_COUNT: u32 = 3;
/// Delay before each attempt to find out the outcome of a transaction.
const RESOLVE_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Maximum length of a change id in bytes.
const MAX_CHANGE_ID_BYTES: usize = 128;

/// Writes the configuration to the key-value service.
///
/// All changes of one call are committed in one transaction or not at all. Each change has a
/// precondition on its object's revision. The resulting configuration is validated as a whole, and
/// the transaction is committed only if no other change was accepted since the configuration was
/// read.
#[derive(Clone, Debug)]
pub struct Writer<Kv> {
    kv: Kv,
    call_timeout: Duration,
}

/// Result of one attempt to commit a change.
enum Attempt {
    /// The change is committed, by this or an earlier call.
    Committed(ApplyOutcome),
    /// Another change was committed first; read the configuration and try again.
    Retry,
}

impl<Kv> Writer<Kv>
where
    Kv: KeyValue,
{
    /// Creates a writer that waits at most `call_timeout` for each answer of the service.
    pub fn new(kv: Kv, call_timeout: Duration) -> Self {
        Self { kv, call_timeout }
    }

    /// Commits all changes in one transaction. The call is idempotent for one hour: repeating it
    /// with the same id and changes applies them once and returns the same revision.
    ///
    /// # Errors
    ///
    /// See [`ApplyError`]; only [`ApplyError::Unknown`] leaves open whether the changes are
    /// applied.
    pub async fn apply(
        &self,
        changes: &[Change],
        change_id: &str,
    ) -> Result<ApplyOutcome, ApplyError> {
        check_change_id(change_id)?;
        let lease = self.grant_lease().await?;
        for _ in 0..MAX_ATTEMPTS_COUNT {
            match self.attempt(changes, change_id, lease).await? {
                Attempt::Committed(outcome) => return Ok(outcome),
                Attempt::Retry => {}
            }
        }
        Err(ApplyError::NotApplied {
            reason: format!("other changes came first {MAX_ATTEMPTS_COUNT} times"),
        })
    }

    /// Commits the changes in as many transactions as needed, in order. Each transaction is applied
    /// as a whole or not at all. The id of a part is `change_id`, a dot and the part's number,
    /// starting at 1.
    ///
    /// # Errors
    ///
    /// [`ApplyError::Part`] if earlier parts were applied, otherwise as for [`Writer::apply`].
    pub async fn apply_in_parts(
        &self,
        changes: &[Change],
        change_id: &str,
    ) -> Result<ApplyOutcome, ApplyError> {
        let parts: Vec<&[Change]> = changes.chunks(MAX_PART_OBJECTS_COUNT).collect();
        let mut outcome = ApplyOutcome::default();
        for (index, part) in parts.iter().enumerate() {
            let part_id = format!("{change_id}.{}", index + 1);
            let part_outcome = self.apply(part, &part_id).await;
            let part_outcome = part_outcome.map_err(|source| match index {
                0 => source,
                _ => ApplyError::Part {
                    part: index + 1,
                    parts_count: parts.len(),
                    source: Box::new(source),
                },
            })?;
            outcome.revision = part_outcome.revision;
            outcome.deactivated.extend(part_outcome.deactivated);
            outcome.warnings = part_outcome.warnings;
        }
        Ok(outcome)
    }

    /// Reads the whole configuration from the service.
    ///
    /// # Errors
    ///
    /// The service could not be read.
    pub async fn read(&self) -> Result<Snapshot, KvError> {
        let range = self.with_timeout(self.kv.range(CONFIG_PREFIX)).await?;
        Ok(Snapshot::from_range(&range))
    }

    /// Reads the configuration, validates the changes against it and tries to commit them.
    async fn attempt(
        &self,
        changes: &[Change],
        change_id: &str,
        lease: LeaseId,
    ) -> Result<Attempt, ApplyError> {
        let range = self.with_timeout(self.kv.range(CONFIG_PREFIX)).await;
        let range = range.map_err(|error| not_applied(&error))?;
        let last_change = range.pairs.iter().find(|pair| pair.key == LAST_CHANGE_KEY);
        let last_change_revision = last_change.map_or(ABSENT, |pair| pair.mod_revision);
        let snapshot = Snapshot::from_range(&range);
        let plan = match TransactionPlan::new(&snapshot, changes) {
            Ok(plan) => plan,
            Err(error) => return self.reject_unless_recorded(changes, change_id, error).await,
        };
        let txn = build_txn(&plan, last_change_revision, changes, change_id, lease);
        match self.with_timeout(self.kv.txn(txn)).await {
            Ok(outcome) => read_txn_outcome(&plan, changes, change_id, &outcome),
            Err(error @ (KvError::Unknown { .. } | KvError::Restored { .. })) => {
                let reason = match error {
                    KvError::Unknown { reason } => reason,
                    error => error.to_string(),
                };
                self.resolve_unknown(&plan, changes, change_id, lease, &reason)
                    .await
            }
            Err(error) => Err(not_applied(&error)),
        }
    }

    /// Returns `error`, unless the change has a record: a change that cannot be applied now may
    /// have been applied by an earlier call whose answer was lost. Then the record determines the
    /// result.
    async fn reject_unless_recorded(
        &self,
        changes: &[Change],
        change_id: &str,
        error: ApplyError,
    ) -> Result<Attempt, ApplyError> {
        let key = change_key(change_id);
        let range = self.with_timeout(self.kv.range(&key)).await;
        let range = range.map_err(|error| ApplyError::Unknown {
            change_id: change_id.to_owned(),
            reason: error.to_string(),
        })?;
        match range.pairs.iter().find(|pair| pair.key == key) {
            Some(pair) => read_record(pair, changes, change_id).map(Attempt::Committed),
            None => Err(error),
        }
    }

    /// Finds out whether a transaction whose answer was lost was committed. If it was not, writes
    /// its record as abandoned, so that a delayed transaction cannot be committed later.
    async fn resolve_unknown(
        &self,
        plan: &TransactionPlan,
        changes: &[Change],
        change_id: &str,
        lease: LeaseId,
        reason: &str,
    ) -> Result<Attempt, ApplyError> {
        let key = change_key(change_id);
        let record = ChangeRecord::abandoned().to_json();
        let txn = Txn {
            compares: vec![Compare::Absent(key.clone())],
            success: vec![Op::Put(key.clone(), record, Some(lease))],
            failure: vec![Op::Get(key)],
        };
        for _ in 0..MAX_RESOLVE_ATTEMPTS_COUNT {
            sleep(RESOLVE_RETRY_DELAY).await;
            let Ok(outcome) = self.with_timeout(self.kv.txn(txn.clone())).await else {
                continue;
            };
            if outcome.succeeded {
                return Err(abandoned(change_id));
            }
            return read_txn_outcome(plan, changes, change_id, &outcome);
        }
        Err(ApplyError::Unknown {
            change_id: change_id.to_owned(),
            reason: reason.to_owned(),
        })
    }

    /// Requests the lease of a change's record.
    async fn grant_lease(&self) -> Result<LeaseId, ApplyError> {
        let lease = self.with_timeout(self.kv.grant(RECORD_TTL)).await;
        let lease = lease.map_err(|error| not_applied(&error))?;
        Ok(lease.id)
    }

    async fn with_timeout<Answer, Call>(&self, call: Call) -> Result<Answer, KvError>
    where
        Call: Future<Output = Result<Answer, KvError>>,
    {
        timeout(self.call_timeout, call)
            .await
            .unwrap_or_else(|_| Err(timeout_error(self.call_timeout)))
    }
}

/// Error of a call to the key-value service that got no answer in time.
pub(crate) fn timeout_error(call_timeout: Duration) -> KvError {
    KvError::Unknown {
        reason: format!("nothing within {} ms", call_timeout.as_millis()),
    }
}

/// The transaction that writes the objects, the record and the key of the last change. If a
/// condition fails, it reads the record instead.
fn build_txn(
    plan: &TransactionPlan,
    last_change_revision: u64,
    changes: &[Change],
    change_id: &str,
    lease: LeaseId,
) -> Txn {
    let key = change_key(change_id);
    let record = ChangeRecord::accepted(changes_digest(changes)).to_json();
    let mut compares = plan.compares.clone();
    compares.push(Compare::Absent(key.clone()));
    compares.push(revision_condition(
        LAST_CHANGE_KEY.to_owned(),
        last_change_revision,
    ));
    let mut success = plan.ops.clone();
    success.push(Op::Put(key.clone(), record, Some(lease)));
    success.push(Op::Put(
        LAST_CHANGE_KEY.to_owned(),
        change_id.to_owned().into(),
        None,
    ));
    Txn {
        compares,
        success,
        failure: vec![Op::Get(key)],
    }
}

/// Condition that a key was last changed at `revision`, or does not exist if `revision` is 0, that
/// is [`ABSENT`].
pub(crate) fn revision_condition(key: String, revision: u64) -> Compare {
    Compare::unchanged(key, Some(revision).filter(|it| *it != ABSENT))
}

/// Determines the result of an attempt from the outcome of its transaction: committed now,
/// committed earlier according to the record, or overtaken by another change.
fn read_txn_outcome(
    plan: &TransactionPlan,
    changes: &[Change],
    change_id: &str,
    txn_outcome: &TxnOutcome,
) -> Result<Attempt, ApplyError> {
    if txn_outcome.succeeded {
        return Ok(Attempt::Committed(plan.outcome(txn_outcome.revision)));
    }
    let Some(pair) = txn_outcome.pairs.first() else {
        return Ok(Attempt::Retry);
    };
    let recorded = read_record(pair, changes, change_id)?;
    Ok(Attempt::Committed(plan.outcome(recorded.revision)))
}

/// The outcome that the record of a change shows.
fn read_record(
    pair: &KvPair,
    changes: &[Change],
    change_id: &str,
) -> Result<ApplyOutcome, ApplyError> {
    match ChangeRecord::from_json(&pair.value) {
        Some(record) if record.state == ChangeState::Abandoned => Err(abandoned(change_id)),
        Some(record) if record.digest == changes_digest(changes) => Ok(ApplyOutcome {
            revision: pair.mod_revision,
            ..ApplyOutcome::default()
        }),
        _ => Err(invalid(InvalidField::new(
            "change_id",
            format!("{change_id} was used for another change"),
            "use a new id for each change",
        ))),
    }
}

fn check_change_id(change_id: &str) -> Result<(), ApplyError> {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"._-".contains(&byte);
    let length_ok = (1..=MAX_CHANGE_ID_BYTES).contains(&change_id.len());
    if length_ok && change_id.bytes().all(allowed) {
        return Ok(());
    }
    Err(invalid(InvalidField::new(
        "change_id",
        format!("{change_id:?} is not a change id"),
        "use 1 to 128 letters, digits and '._-', unique to the change",
    )))
}

fn invalid(source: InvalidField) -> ApplyError {
    ApplyError::Invalid { source }
}

fn abandoned(change_id: &str) -> ApplyError {
    ApplyError::Abandoned {
        change_id: change_id.to_owned(),
    }
}

fn not_applied(error: &KvError) -> ApplyError {
    ApplyError::NotApplied {
        reason: error.to_string(),
    }
}
