//! A lease that many claims share.

use {
    keyvalue::{KeyValue, KvError, LeaseId},
    std::time::Duration,
    tokio::{sync::Mutex, time::Instant},
};

/// The lease that new claims use now.
#[derive(Clone, Copy, Debug)]
struct CurrentLease {
    id: LeaseId,
    use_until: Instant,
}

/// Grants one lease for all claims that start within `reuse`, so that not every claim costs a call.
#[derive(Debug)]
pub(crate) struct SharedLease<Kv> {
    kv: Kv,
    retention: Duration,
    reuse: Duration,
    current: Mutex<Option<CurrentLease>>,
}

impl<Kv> SharedLease<Kv>
where
    Kv: KeyValue,
{
    /// Creates a source of leases that each last at least `retention` from the start of any claim.
    pub(crate) fn new(kv: Kv, retention: Duration, reuse: Duration) -> Self {
        Self {
            kv,
            retention,
            reuse,
            current: Mutex::default(),
        }
    }

    /// Returns the lease for a claim that starts now, and grants a new one if needed.
    pub(crate) async fn current(&self) -> Result<LeaseId, KvError> {
        let mut current = self.current.lock().await;
        let now = Instant::now();
        if let Some(lease) = current.filter(|lease| now < lease.use_until) {
            return Ok(lease.id);
        }
        let granted = self.kv.grant(self.retention + self.reuse).await?;
        let usable = granted.ttl.saturating_sub(self.retention);
        *current = Some(CurrentLease {
            id: granted.id,
            use_until: now + usable.min(self.reuse),
        });
        Ok(granted.id)
    }

    /// Stops using `lease`, which the key-value service no longer knows.
    pub(crate) async fn invalidate(&self, lease: LeaseId) {
        let mut current = self.current.lock().await;
        if current.is_some_and(|current| current.id == lease) {
            *current = None;
        }
    }
}
