//! The lease of records that expire by themselves some time after they were written.

use {
    keyvalue::{KeyValue, KvError, LeaseId},
    relay::boot_time,
    std::time::Duration,
};

/// Time after which a record expires.
const RECORD_TTL: Duration = Duration::from_mins(10);
/// Time for which one lease is used for further records.
const LEASE_REUSE_TIME: Duration = Duration::from_mins(1);
/// Age from which on a record that still holds is written again.
pub(crate) const REFRESH_AGE: Duration = Duration::from_mins(4);

/// A lease that is never renewed and replaced by another one after a while.
#[derive(Debug, Default)]
pub(crate) struct RecordLease {
    /// The current lease, and when it was granted.
    granted: Option<(LeaseId, Duration)>,
}

impl RecordLease {
    /// Returns a lease that was granted a short time ago, or a new one.
    pub(crate) async fn get<Kv>(&mut self, kv: &Kv) -> Result<LeaseId, KvError>
    where
        Kv: KeyValue,
    {
        let now = boot_time();
        if let Some((lease, granted_at)) = self.granted
            && now.saturating_sub(granted_at) < LEASE_REUSE_TIME
        {
            return Ok(lease);
        }
        let lease = kv.grant(RECORD_TTL).await?;
        self.granted = Some((lease.id, now));
        Ok(lease.id)
    }

    /// Forgets the lease, since a write with it failed.
    pub(crate) fn forget(&mut self) {
        self.granted = None;
    }
}
