//! Writes records that expire by themselves some time after they were written.

use {
    bytes::Bytes,
    keyvalue::{Incarnation, KeyValue, KvError, LeaseId, Op, Txn},
    relay::boot_time,
    std::time::Duration,
};

/// Time after which a record expires.
const RECORD_TTL: Duration = Duration::from_mins(10);
/// Time for which one lease is used for further records.
const LEASE_REUSE_TIME: Duration = Duration::from_mins(1);
/// Age from which on a record that still holds is written again.
pub(crate) const REFRESH_AGE: Duration = Duration::from_mins(4);
/// Largest number of changes in one write.
pub(crate) const MAX_WRITTEN_COUNT: usize = 16;

/// A change to write to a record that expires.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum RecordChange {
    /// Writes the record with this key and value.
    Put(String, Bytes),
    /// Deletes the record with this key.
    Delete(String),
}

/// A lease that is never renewed and replaced by another one after a while.
#[derive(Debug, Default)]
pub(crate) struct RecordLease {
    /// The current lease, when it was granted, and by which incarnation of the service.
    granted: Option<(LeaseId, Duration, Incarnation)>,
}

impl RecordLease {
    /// Writes `changes`, at most [`MAX_WRITTEN_COUNT`], in one transaction. Takes a lease only if a
    /// record is put. After an error, the next one is a new lease.
    pub(crate) async fn write<Kv>(
        &mut self,
        kv: &Kv,
        changes: Vec<RecordChange>,
    ) -> Result<(), KvError>
    where
        Kv: KeyValue,
    {
        let written = self.try_write(kv, changes).await;
        if written.is_err() {
            self.granted = None;
        }
        written
    }

    async fn try_write<Kv>(&mut self, kv: &Kv, changes: Vec<RecordChange>) -> Result<(), KvError>
    where
        Kv: KeyValue,
    {
        let mut write = Txn::default();
        for change in changes {
            write.success.push(match change {
                RecordChange::Put(key, value) => Op::Put(key, value, Some(self.get(kv).await?)),
                RecordChange::Delete(key) => Op::Delete(key),
            });
        }
        kv.txn(write).await.map(|_| ())
    }

    /// Returns a lease that was granted a short time ago, or a new one.
    async fn get<Kv>(&mut self, kv: &Kv) -> Result<LeaseId, KvError>
    where
        Kv: KeyValue,
    {
        let now = boot_time();
        let incarnation = *kv.incarnation().borrow();
        if let Some((lease, granted_at, granted_in)) = self.granted
            && now.saturating_sub(granted_at) < LEASE_REUSE_TIME
            && granted_in.is_same(&incarnation)
        {
            return Ok(lease);
        }
        let lease = kv.grant(RECORD_TTL).await?;
        self.granted = Some((lease.id, now, incarnation));
        Ok(lease.id)
    }
}
