//! The order lock, which lets one instance at a time send orders to targets, and the lease that it
//! is bound to.

use {crate::FencingToken, catalog::Revision, keyvalue::Incarnation, std::time::Duration};

/// This instance's lease in the key-value service. Times are those of a clock that keeps running
/// during suspension.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct InstanceLease {
    /// Id of the lease.
    pub id: keyvalue::LeaseId,
    /// Time from which the lease may have expired.
    pub expires_at: Duration,
    /// Incarnation of the service that granted it; it is gone in any other.
    pub incarnation: Incarnation,
}

impl InstanceLease {
    /// Creates the lease after a grant or renewal that was sent at `sent_at`. The TTL counts from
    /// sending, since a late response says nothing about when the service renewed the lease.
    #[must_use]
    pub fn new(id: keyvalue::LeaseId, sent_at: Duration, ttl: Duration) -> Self {
        Self {
            id,
            expires_at: sent_at + ttl,
            incarnation: Incarnation::default(),
        }
    }

    /// Sets the incarnation of the service that granted the lease.
    #[must_use]
    pub fn incarnation(mut self, incarnation: Incarnation) -> Self {
        self.incarnation = incarnation;
        self
    }

    /// Whether the lease stays valid for at least `margin` after `now`.
    #[must_use]
    pub fn is_valid(&self, now: Duration, margin: Duration) -> bool {
        now + margin < self.expires_at
    }
}

/// The order lock, held under one lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OrderLock {
    /// Lease that the lock is bound to.
    pub lease_id: keyvalue::LeaseId,
    /// Incarnation of the service that the lock is held in.
    pub incarnation: Incarnation,
    /// Revision at which the lock was acquired.
    pub revision: Revision,
    /// Fencing token, which grows with each holder, also over incarnations.
    pub fencing: FencingToken,
    /// No order is sent before this time, since the previous holder's last order may still be in
    /// transit.
    pub usable_from: Duration,
}

impl OrderLock {
    /// Creates a lock that was acquired at `revision` and at `now` with the token `fencing`, and that allows
    /// orders after `gap`.
    #[must_use]
    pub fn new(
        lease: &InstanceLease,
        revision: Revision,
        fencing: FencingToken,
        now: Duration,
        gap: Duration,
    ) -> Self {
        Self {
            lease_id: lease.id,
            incarnation: lease.incarnation,
            revision,
            fencing,
            usable_from: now + gap,
        }
    }

    /// Allows no order before `at`. A holder of an earlier incarnation that cannot reach the service
    /// relies on its lease for the lease's time to live.
    #[must_use]
    pub fn not_before(mut self, at: Duration) -> Self {
        self.usable_from = self.usable_from.max(at);
        self
    }

    /// Time until orders may be sent. Rollouts must not be planned earlier, since instances avoid the
    /// planned targets from then on.
    #[must_use]
    pub fn time_until_usable(&self, now: Duration) -> Duration {
        self.usable_from.saturating_sub(now)
    }

    /// Returns the fencing token for an order that is sent now and arrives within `margin`, or
    /// `None` if this instance must not send one. Call it immediately before each order, since the
    /// process may have been suspended.
    #[must_use]
    pub fn usable_fencing(
        &self,
        lease: &InstanceLease,
        now: Duration,
        margin: Duration,
    ) -> Option<FencingToken> {
        let is_same = lease.id == self.lease_id && lease.incarnation.is_same(&self.incarnation);
        let is_own = is_same && lease.is_valid(now, margin);
        (is_own && self.time_until_usable(now).is_zero()).then_some(self.fencing)
    }
}
