//! The right to give orders, and how long this instance may trust that it has it.

use {catalog::Revision, std::time::Duration};

/// The lease of this instance, by a clock that counts suspension.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct InstanceLease {
    /// Id of the lease.
    pub id: keyvalue::LeaseId,
    /// The lease may lapse from then on.
    pub expires_at: Duration,
}

impl InstanceLease {
    /// The lease after a renewal that was sent at `sent_at`.
    #[must_use]
    pub fn new(id: keyvalue::LeaseId, sent_at: Duration, ttl: Duration) -> Self {
        Self {
            id,
            expires_at: sent_at + ttl,
        }
    }

    /// Whether the lease holds for at least `margin` more.
    #[must_use]
    pub fn is_valid(&self, now: Duration, margin: Duration) -> bool {
        now + margin < self.expires_at
    }
}

/// The right to give orders, held under one lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OrderLock {
    /// Lease that the right is bound to.
    pub lease_id: keyvalue::LeaseId,
    /// Revision at which it was taken; rises from holder to holder.
    pub fencing: Revision,
    /// No order is given before: the last one of the holder before may still be on its way.
    pub usable_from: Duration,
}

impl OrderLock {
    /// The right, taken at `now`; orders wait for `gap`.
    #[must_use]
    pub fn new(lease: &InstanceLease, fencing: Revision, now: Duration, gap: Duration) -> Self {
        Self {
            lease_id: lease.id,
            fencing,
            usable_from: now + gap,
        }
    }

    /// Time until orders may be given. Nothing is prepared before, since targets that are about to
    /// load take no calls.
    #[must_use]
    pub fn time_until_usable(&self, now: Duration) -> Duration {
        self.usable_from.saturating_sub(now)
    }

    /// The fencing number for an order that is sent now and arrives within `margin`; none if this
    /// instance may not give one. Ask immediately before each order.
    #[must_use]
    pub fn usable_fencing(
        &self,
        lease: &InstanceLease,
        now: Duration,
        margin: Duration,
    ) -> Option<Revision> {
        let is_own = lease.id == self.lease_id && lease.is_valid(now, margin);
        (is_own && self.time_until_usable(now).is_zero()).then_some(self.fencing)
    }
}
