//! Accepts changes by compare-and-swap.

use {
    crate::{
        ApplyError, ApplyOutcome, Change, Snapshot,
        change_record::{ChangeRecord, Settled, digest},
        keys::{ABSENT, CONFIG_PREFIX, LAST_CHANGE_KEY, change_key},
        plan::{PART_OBJECTS_COUNT, Plan},
    },
    catalog::InvalidField,
    keyvalue::{Compare, KeyValue, KvError, KvPair, LeaseId, Op, Txn, TxnOutcome},
    std::time::Duration,
    tokio::time::{sleep, timeout},
};

/// How long the record of a change is kept, so that a lost answer can be settled.
const RECORD_TTL: Duration = Duration::from_hours(1);
/// Rounds against other writers before a change is given up.
const MAX_ROUNDS: usize = 64;
/// Times that a lost answer is asked for before it is reported as unknown.
const MAX_SETTLE_TRIES: u32 = 3;
/// Pause between two such questions.
const SETTLE_PAUSE: Duration = Duration::from_millis(100);
/// Longest change id in bytes.
const MAX_CHANGE_ID_BYTES: usize = 128;

/// Writes the configuration to the key-value service.
///
/// All changes of one call are committed in one transaction or not at all. Each change states the
/// revision that its object must have. The whole configuration is checked as it will be, and the
/// transaction holds only if nothing was accepted since it was read.
#[derive(Clone, Debug)]
pub struct Writer<Kv> {
    kv: Kv,
    call_timeout: Duration,
}

/// What one round ended with.
enum Round {
    Accepted(ApplyOutcome),
    /// Another change was accepted meanwhile; read again.
    Overtaken,
}

impl<Kv> Writer<Kv>
where
    Kv: KeyValue,
{
    /// A writer that waits at most `call_timeout` for one answer of the service.
    pub fn new(kv: Kv, call_timeout: Duration) -> Self {
        Self { kv, call_timeout }
    }

    /// Commits all changes in one transaction. Repeating a call with the same id and changes gives
    /// the same answer and applies them once, for an hour.
    ///
    /// # Errors
    ///
    /// See [`ApplyError`]; only [`ApplyError::Unknown`] leaves open whether the change holds.
    pub async fn apply(
        &self,
        changes: &[Change],
        change_id: &str,
    ) -> Result<ApplyOutcome, ApplyError> {
        check_change_id(change_id)?;
        let lease = self.grant().await?;
        for _ in 0..MAX_ROUNDS {
            match self.round(changes, change_id, lease).await? {
                Round::Accepted(accepted) => return Ok(accepted),
                Round::Overtaken => {}
            }
        }
        Err(ApplyError::NotApplied {
            reason: format!("other changes came first {MAX_ROUNDS} times"),
        })
    }

    /// Commits the changes in as many transactions as are needed, in order; each holds or fails as
    /// a whole. The parts' ids are `change_id` followed by their number.
    ///
    /// # Errors
    ///
    /// [`ApplyError::Part`] if earlier parts are applied, else as for [`Writer::apply`].
    pub async fn apply_in_parts(
        &self,
        changes: &[Change],
        change_id: &str,
    ) -> Result<ApplyOutcome, ApplyError> {
        let parts: Vec<&[Change]> = changes.chunks(PART_OBJECTS_COUNT).collect();
        let mut all = ApplyOutcome::default();
        for (index, part) in parts.iter().enumerate() {
            let part_id = format!("{change_id}.{}", index + 1);
            let accepted = self.apply(part, &part_id).await;
            let accepted = accepted.map_err(|source| match index {
                0 => source,
                _ => ApplyError::Part {
                    part: index + 1,
                    parts_count: parts.len(),
                    source: Box::new(source),
                },
            })?;
            all.revision = accepted.revision;
            all.deactivated.extend(accepted.deactivated);
            all.warnings = accepted.warnings;
        }
        Ok(all)
    }

    /// Reads the whole configuration from the service.
    ///
    /// # Errors
    ///
    /// The service did not answer.
    pub async fn read(&self) -> Result<Snapshot, KvError> {
        let range = self.limited(self.kv.range(CONFIG_PREFIX)).await?;
        Ok(Snapshot::from_range(&range))
    }

    async fn round(
        &self,
        changes: &[Change],
        change_id: &str,
        lease: LeaseId,
    ) -> Result<Round, ApplyError> {
        let range = self.limited(self.kv.range(CONFIG_PREFIX)).await;
        let range = range.map_err(|error| not_applied(&error))?;
        let guard = range.pairs.iter().find(|pair| pair.key == LAST_CHANGE_KEY);
        let guard = guard.map_or(ABSENT, |pair| pair.mod_revision);
        let snapshot = Snapshot::from_range(&range);
        let plan = match Plan::new(&snapshot, changes) {
            Ok(plan) => plan,
            Err(error) => return self.refuse(changes, change_id, error).await,
        };
        let txn = transaction(&plan, guard, changes, change_id, lease);
        match self.limited(self.kv.txn(txn)).await {
            Ok(outcome) => resolve(&plan, changes, change_id, &outcome),
            Err(KvError::Unknown { reason }) => {
                self.settle(&plan, changes, change_id, lease, &reason).await
            }
            Err(error) => Err(not_applied(&error)),
        }
    }

    /// A change that can't be applied now may be one that was applied by an earlier call whose
    /// answer was lost: its record decides.
    async fn refuse(
        &self,
        changes: &[Change],
        change_id: &str,
        error: ApplyError,
    ) -> Result<Round, ApplyError> {
        let key = change_key(change_id);
        let range = self.limited(self.kv.range(&key)).await;
        let range = range.map_err(|error| ApplyError::Unknown {
            change_id: change_id.to_owned(),
            reason: error.to_string(),
        })?;
        match range.pairs.iter().find(|pair| pair.key == key) {
            Some(pair) => recorded(pair, changes, change_id).map(Round::Accepted),
            None => Err(error),
        }
    }

    /// Finds out whether a transaction whose answer was lost was committed. If not, its record is
    /// written as abandoned, so that it can't be committed later either.
    async fn settle(
        &self,
        plan: &Plan,
        changes: &[Change],
        change_id: &str,
        lease: LeaseId,
        reason: &str,
    ) -> Result<Round, ApplyError> {
        let key = change_key(change_id);
        let record = ChangeRecord::abandoned().to_json();
        let txn = Txn {
            compares: vec![Compare::Absent(key.clone())],
            success: vec![Op::Put(key.clone(), record, Some(lease))],
            failure: vec![Op::Get(key)],
        };
        for _ in 0..MAX_SETTLE_TRIES {
            sleep(SETTLE_PAUSE).await;
            let Ok(outcome) = self.limited(self.kv.txn(txn.clone())).await else {
                continue;
            };
            if outcome.succeeded {
                return Err(abandoned(change_id));
            }
            return resolve(plan, changes, change_id, &outcome);
        }
        Err(ApplyError::Unknown {
            change_id: change_id.to_owned(),
            reason: reason.to_owned(),
        })
    }

    async fn grant(&self) -> Result<LeaseId, ApplyError> {
        let lease = self.limited(self.kv.grant(RECORD_TTL)).await;
        let lease = lease.map_err(|error| not_applied(&error))?;
        Ok(lease.id)
    }

    async fn limited<Answer, Call>(&self, call: Call) -> Result<Answer, KvError>
    where
        Call: Future<Output = Result<Answer, KvError>>,
    {
        timeout(self.call_timeout, call)
            .await
            .unwrap_or_else(|_| Err(no_answer(self.call_timeout)))
    }
}

pub(crate) fn no_answer(call_timeout: Duration) -> KvError {
    KvError::Unknown {
        reason: format!("nothing within {} ms", call_timeout.as_millis()),
    }
}

fn transaction(
    plan: &Plan,
    guard: u64,
    changes: &[Change],
    change_id: &str,
    lease: LeaseId,
) -> Txn {
    let key = change_key(change_id);
    let record = ChangeRecord::accepted(digest(changes)).to_json();
    let mut compares = plan.compares.clone();
    compares.push(Compare::Absent(key.clone()));
    compares.push(compare(LAST_CHANGE_KEY.to_owned(), guard));
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

/// Condition that a key was last changed at a revision, or is absent if that is 0.
pub(crate) fn compare(key: String, revision: u64) -> Compare {
    match revision {
        ABSENT => Compare::Absent(key),
        revision => Compare::ModRevision(key, revision),
    }
}

/// Reads the outcome of a transaction that holds the change, or finds its record.
fn resolve(
    plan: &Plan,
    changes: &[Change],
    change_id: &str,
    outcome: &TxnOutcome,
) -> Result<Round, ApplyError> {
    if outcome.succeeded {
        return Ok(Round::Accepted(plan.accepted(outcome.revision)));
    }
    let Some(pair) = outcome.pairs.first() else {
        return Ok(Round::Overtaken);
    };
    let accepted = recorded(pair, changes, change_id)?;
    Ok(Round::Accepted(plan.accepted(accepted.revision)))
}

fn recorded(
    pair: &KvPair,
    changes: &[Change],
    change_id: &str,
) -> Result<ApplyOutcome, ApplyError> {
    match ChangeRecord::from_json(&pair.value) {
        Some(record) if record.state == Settled::Abandoned => Err(abandoned(change_id)),
        Some(record) if record.digest == digest(changes) => Ok(ApplyOutcome {
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
