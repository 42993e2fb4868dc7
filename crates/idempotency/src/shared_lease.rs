//! Leases that many claims share.

use {
    keyvalue::{KeyValue, KvError, LeaseId},
    std::time::Duration,
    tokio::{sync::Mutex, time::Instant},
};

/// The lease in use.
#[derive(Clone, Copy, Debug)]
struct Current {
    id: LeaseId,
    use_until: Instant,
}

/// Grants one lease for all claims of a stretch of time.
#[derive(Debug)]
pub(crate) struct SharedLease<Kv> {
    kv: Kv,
    retention: Duration,
    bucket: Duration,
    current: Mutex<Option<Current>>,
}

impl<Kv> SharedLease<Kv>
where
    Kv: KeyValue,
{
    /// Leases that outlive each claim's start by at least `retention`.
    pub(crate) fn new(kv: Kv, retention: Duration, bucket: Duration) -> Self {
        Self {
            kv,
            retention,
            bucket,
            current: Mutex::default(),
        }
    }

    /// A lease for a claim that starts now.
    pub(crate) async fn lease(&self) -> Result<LeaseId, KvError> {
        let mut current = self.current.lock().await;
        let now = Instant::now();
        if let Some(lease) = current.filter(|lease| now < lease.use_until) {
            return Ok(lease.id);
        }
        let granted = self.kv.grant(self.retention + self.bucket).await?;
        let spare = granted.ttl.saturating_sub(self.retention);
        *current = Some(Current {
            id: granted.id,
            use_until: now + spare.min(self.bucket),
        });
        Ok(granted.id)
    }

    /// Stops using a lease that the service no longer knows.
    pub(crate) async fn forget(&self, lease: LeaseId) {
        let mut current = self.current.lock().await;
        if current.is_some_and(|held| held.id == lease) {
            *current = None;
        }
    }
}
