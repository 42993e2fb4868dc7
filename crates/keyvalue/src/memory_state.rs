//! State of the in-memory key-value service, without locks, faults or waiting.

use {
    crate::{
        Compare, Event, KvError, KvPair, Lease, LeaseId, NamedIncarnation, Op, Range, Txn,
        TxnOutcome,
    },
    catalog::Revision,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
    tokio::time::Instant,
};

/// One lease that has not expired.
#[derive(Clone, Copy, Debug)]
struct LeaseRecord {
    ttl: Duration,
    expires_at: Instant,
}

/// Keys, leases and the history of changes since the last compaction.
#[derive(Clone, Debug, Default)]
pub(crate) struct MemoryState {
    /// Number of the incarnation; `None` if answers do not name it.
    incarnation: Option<u64>,
    revision: Revision,
    compacted_revision: Revision,
    pairs: BTreeMap<String, KvPair>,
    key_leases: BTreeMap<String, LeaseId>,
    leases: BTreeMap<LeaseId, LeaseRecord>,
    last_lease_id: LeaseId,
    history: Vec<(Revision, Event)>,
}

impl MemoryState {
    /// Revision of the last change.
    pub(crate) fn revision(&self) -> Revision {
        self.revision
    }

    /// What answers say of the incarnation.
    pub(crate) fn named_incarnation(&self) -> NamedIncarnation<'static> {
        self.incarnation
            .map_or(NamedIncarnation::Missing, NamedIncarnation::Number)
    }

    /// Sets the number of the incarnation that answers name.
    pub(crate) fn set_incarnation(&mut self, number: u64) {
        self.incarnation = Some(number);
    }

    /// Becomes `copy`, which was taken `age` ago, as the next incarnation.
    pub(crate) fn replace(&mut self, copy: Self, age: Duration) {
        let incarnation = self.incarnation.map(|before| before + 1);
        *self = copy;
        self.incarnation = incarnation;
        for lease in self.leases.values_mut() {
            lease.expires_at += age;
        }
    }

    /// Drops all changes before the current revision.
    pub(crate) fn compact(&mut self) {
        self.compacted_revision = self.revision;
        let oldest = self.compacted_revision;
        self.history.retain(|(revision, _)| *revision >= oldest);
    }

    /// Time at which the next lease expires; `None` without leases.
    pub(crate) fn next_expiry(&self) -> Option<Instant> {
        self.leases.values().map(|lease| lease.expires_at).min()
    }

    /// Removes the leases that have expired by `now`, with their keys.
    pub(crate) fn expire_due_leases(&mut self, now: Instant) {
        let expired: Vec<LeaseId> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires_at <= now)
            .map(|(id, _)| *id)
            .collect();
        for lease in expired {
            self.remove_lease(lease);
        }
    }

    /// Removes all leases, with their keys.
    pub(crate) fn expire_all_leases(&mut self) {
        let leases: Vec<LeaseId> = self.leases.keys().copied().collect();
        for lease in leases {
            self.remove_lease(lease);
        }
    }

    /// Reads every key that starts with `prefix`.
    pub(crate) fn range(&self, prefix: &str) -> Range {
        let pairs = self
            .pairs
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(_, pair)| pair.clone())
            .collect();
        Range {
            pairs,
            revision: self.revision,
        }
    }

    /// Creates a lease that expires `ttl` after `now`.
    pub(crate) fn grant(&mut self, ttl: Duration, now: Instant) -> Lease {
        self.last_lease_id += 1;
        let expires_at = now + ttl;
        self.leases
            .insert(self.last_lease_id, LeaseRecord { ttl, expires_at });
        Lease {
            id: self.last_lease_id,
            ttl,
        }
    }

    /// Renews a lease from `now` on; an error if it has expired.
    pub(crate) fn keep_alive(&mut self, id: LeaseId, now: Instant) -> Result<Lease, KvError> {
        let Some(record) = self.leases.get_mut(&id) else {
            return Err(lease_not_found(id));
        };
        record.expires_at = now + record.ttl;
        Ok(Lease {
            id,
            ttl: record.ttl,
        })
    }

    /// Removes a lease, with its keys.
    pub(crate) fn revoke(&mut self, id: LeaseId) -> Result<(), KvError> {
        if !self.leases.contains_key(&id) {
            return Err(lease_not_found(id));
        }
        self.remove_lease(id);
        Ok(())
    }

    /// Runs a transaction; all its writes share one revision.
    pub(crate) fn txn(&mut self, txn: &Txn) -> Result<TxnOutcome, KvError> {
        check_duplicate_keys(txn, &mut BTreeSet::new())?;
        self.check_leases(txn)?;
        let write_revision = self.revision + 1;
        let mut changed = false;
        let mut outcome = self.apply(txn, write_revision, &mut changed);
        if changed {
            self.revision = write_revision;
        }
        set_revision(&mut outcome, self.revision);
        Ok(outcome)
    }

    /// Returns the changes of keys that start with `prefix`, from revision `from` on.
    ///
    /// # Errors
    /// [`KvError::Compacted`] with the oldest kept revision if `from` lies before it, or beyond the next
    /// revision.
    pub(crate) fn events(&self, prefix: &str, from: Revision) -> Result<Vec<Event>, KvError> {
        if from < self.compacted_revision || from > self.revision + 1 {
            return Err(KvError::Compacted {
                revision: self.compacted_revision,
            });
        }
        let start = self
            .history
            .partition_point(|(revision, _)| *revision < from);
        let events = self.history[start..]
            .iter()
            .filter(|(_, event)| event_key(event).starts_with(prefix))
            .map(|(_, event)| event.clone())
            .collect();
        Ok(events)
    }

    /// Runs a checked transaction and its nested ones. Sets `changed` if a key was written.
    fn apply(&mut self, txn: &Txn, write_revision: Revision, changed: &mut bool) -> TxnOutcome {
        let succeeded = txn
            .compares
            .iter()
            .all(|compare| self.compare_holds(compare));
        let ops = if succeeded {
            &txn.success
        } else {
            &txn.failure
        };
        let mut outcome = TxnOutcome {
            succeeded,
            ..TxnOutcome::default()
        };
        for op in ops {
            self.apply_op(op, write_revision, changed, &mut outcome);
        }
        outcome
    }

    fn apply_op(
        &mut self,
        op: &Op,
        write_revision: Revision,
        changed: &mut bool,
        outcome: &mut TxnOutcome,
    ) {
        match op {
            Op::Put(key, value, lease) => {
                self.put(key, value.clone(), *lease, write_revision);
                *changed = true;
            }
            Op::Delete(key) => *changed |= self.delete(key, write_revision),
            Op::Get(key) => outcome.pairs.extend(self.pairs.get(key).cloned()),
            Op::Txn(nested) => {
                let nested = self.apply(nested, write_revision, changed);
                outcome.nested.push(nested);
            }
        }
    }

    fn compare_holds(&self, compare: &Compare) -> bool {
        match compare {
            Compare::Absent(key) => !self.pairs.contains_key(key),
            Compare::ModRevision(key, revision) => {
                self.pairs.get(key).map_or(0, |pair| pair.mod_revision) == *revision
            }
            Compare::CreateRevision(key, revision) => {
                self.pairs.get(key).map_or(0, |pair| pair.create_revision) == *revision
            }
        }
    }

    fn put(
        &mut self,
        key: &str,
        value: bytes::Bytes,
        lease: Option<LeaseId>,
        write_revision: Revision,
    ) {
        let create_revision = self.pairs.get(key).map(|pair| pair.create_revision);
        let pair = KvPair {
            key: key.to_owned(),
            value,
            create_revision: create_revision.unwrap_or(write_revision),
            mod_revision: write_revision,
        };
        self.key_leases.remove(key);
        if let Some(lease) = lease {
            self.key_leases.insert(key.to_owned(), lease);
        }
        self.pairs.insert(key.to_owned(), pair.clone());
        self.history.push((write_revision, Event::Put(pair)));
    }

    fn delete(&mut self, key: &str, write_revision: Revision) -> bool {
        if self.pairs.remove(key).is_none() {
            return false;
        }
        self.key_leases.remove(key);
        let event = Event::Delete(key.to_owned(), write_revision);
        self.history.push((write_revision, event));
        true
    }

    fn remove_lease(&mut self, lease: LeaseId) {
        self.leases.remove(&lease);
        let keys: Vec<String> = self
            .key_leases
            .iter()
            .filter(|(_, key_lease)| **key_lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        let write_revision = self.revision + 1;
        for key in &keys {
            self.delete(key, write_revision);
        }
        if !keys.is_empty() {
            self.revision = write_revision;
        }
    }

    fn check_leases(&self, txn: &Txn) -> Result<(), KvError> {
        for op in txn.success.iter().chain(&txn.failure) {
            match op {
                Op::Put(_, _, Some(lease)) if !self.leases.contains_key(lease) => {
                    return Err(lease_not_found(*lease));
                }
                Op::Txn(nested) => self.check_leases(nested)?,
                _ => {}
            }
        }
        Ok(())
    }
}

/// Key that an event concerns; empty for progress.
fn event_key(event: &Event) -> &str {
    match event {
        Event::Put(pair) => &pair.key,
        Event::Delete(key, _) => key,
        Event::Progress(_) => "",
    }
}

/// Revision of an event.
pub(crate) fn event_revision(event: &Event) -> Revision {
    match event {
        Event::Put(pair) => pair.mod_revision,
        Event::Delete(_, revision) | Event::Progress(revision) => *revision,
    }
}

fn lease_not_found(id: LeaseId) -> KvError {
    KvError::Refused {
        reason: format!("requested lease {id} not found"),
    }
}

/// Sets the revision of an outcome and of all nested ones.
fn set_revision(outcome: &mut TxnOutcome, revision: Revision) {
    outcome.revision = revision;
    for nested in &mut outcome.nested {
        set_revision(nested, revision);
    }
}

/// Refuses a transaction that could write one key twice, as etcd does. Only one branch of a
/// transaction runs, so both branches may write the same key.
fn check_duplicate_keys(txn: &Txn, written: &mut BTreeSet<String>) -> Result<(), KvError> {
    let mut failure_written = written.clone();
    check_duplicate_ops(&txn.success, written)?;
    check_duplicate_ops(&txn.failure, &mut failure_written)?;
    written.append(&mut failure_written);
    Ok(())
}

fn check_duplicate_ops(ops: &[Op], written: &mut BTreeSet<String>) -> Result<(), KvError> {
    for op in ops {
        match op {
            Op::Put(key, ..) | Op::Delete(key) if !written.insert(key.clone()) => {
                return Err(KvError::Refused {
                    reason: format!("duplicate key {key} in transaction"),
                });
            }
            Op::Txn(nested) => check_duplicate_keys(nested, written)?,
            _ => {}
        }
    }
    Ok(())
}
