//! Acquires, keeps and releases the order lock.

use {
    super::OrderIssuer,
    crate::{
        HolderRecord, InstanceLease, Item, KnownHolder, OrderLock, Platform, membership::LEASE_TTL,
        own_keys::HOLDER_KEY, shared::RANK_DELAY,
    },
    catalog::Revision,
    eventlog::Event,
    keyvalue::{Compare, KeyValue, Op, Txn},
    relay::boot_time,
    std::time::Duration,
    tokio::time::sleep,
};

/// Safety margin on the minimum time between the orders of two lock holders.
const GAP_MARGIN: Duration = Duration::from_millis(100);

impl<Kv, Format> OrderIssuer<Kv, Format>
where
    Kv: KeyValue,
    Format: Platform,
{
    /// Returns the order lock if this instance holds it, after acquiring it if it is free.
    /// `held_lock` is the lock as held so far.
    pub(super) async fn hold_lock(&self, held_lock: Option<OrderLock>) -> Option<OrderLock> {
        let Some((lease, holder)) = self.lease_and_holder() else {
            self.log_lock_lost(held_lock, "its lease is gone");
            return None;
        };
        let held_lock = held_lock.filter(|held| self.is_current(held));
        if let Some(holder) = &holder {
            let is_own_name = holder.record.instance == self.shared.settings.instance;
            let is_own_lease = holder.record.lease == lease.id;
            if is_own_name && is_own_lease {
                let kept = held_lock.filter(|held| held.revision == holder.revision);
                // The key is ours but this task has no matching lock: the response to the request that
                // acquired it was lost, or this task was restarted.
                return Some(kept.unwrap_or_else(|| self.start_holding(&lease, holder.revision)));
            }
            self.log_lock_lost(held_lock, "another instance or an earlier lease holds it");
            // A service that came back from an older copy may give a lease out again. A record that
            // another instance bound to ours would stay as long as we renew it.
            if !is_own_lease {
                return None;
            }
        } else {
            self.log_lock_lost(held_lock, "its key is gone");
        }
        if !self.shared.is_ready() {
            return None;
        }
        self.acquire_lock().await
    }

    /// Returns the lease of this instance and the holder of the lock, if everything has been read in the
    /// present incarnation of the service: before that, the holder is that of an earlier one.
    fn lease_and_holder(&self) -> Option<(InstanceLease, Option<KnownHolder>)> {
        let lease = self.shared.lease()?;
        let known = self.shared.known();
        let is_read = known.incarnation().is_same(&lease.incarnation);
        is_read.then(|| (lease, known.holder().cloned()))
    }

    /// Whether a lock was acquired in the present incarnation. Logs that it is lost if not.
    fn is_current(&self, held: &OrderLock) -> bool {
        let is_current = held.incarnation.is_same(&self.shared.incarnation());
        if !is_current {
            self.log_lock_lost(
                Some(*held),
                "the key-value service came back from an older copy",
            );
        }
        is_current
    }

    /// Acquires the lock if it is still free after a delay by rank, which keeps the instances from
    /// competing for it.
    async fn acquire_lock(&self) -> Option<OrderLock> {
        sleep(RANK_DELAY * self.shared.rank()).await;
        let (lease, holder) = self.lease_and_holder()?;
        let is_free = holder.as_ref().is_none_or(|holder| {
            let is_own_name = holder.record.instance == self.shared.settings.instance;
            holder.record.lease == lease.id && !is_own_name
        });
        if !is_free {
            return None;
        }
        let condition = match holder {
            Some(holder) => Compare::ModRevision(HOLDER_KEY.to_owned(), holder.revision),
            None => Compare::Absent(HOLDER_KEY.to_owned()),
        };
        let record = HolderRecord {
            instance: self.shared.settings.instance.clone(),
            lease: lease.id,
        };
        let value = serde_json::to_vec(&record).ok()?;
        let acquire = Txn {
            compares: vec![condition],
            success: vec![Op::Put(HOLDER_KEY.to_owned(), value.into(), Some(lease.id))],
            ..Txn::default()
        };
        match self.shared.kv.txn(acquire).await {
            Ok(outcome) if outcome.succeeded => {
                let holder = Item::Holder(record);
                let mut known = self.shared.known();
                known.put("", holder, outcome.revision, boot_time());
                drop(known);
                Some(self.start_holding(&lease, outcome.revision))
            }
            Ok(_) => None,
            Err(error) => {
                log::info!("failed to acquire the order lock: {error}");
                None
            }
        }
    }

    /// Creates and logs a lock that becomes usable after the order gap, counted from now. Also used
    /// for a lock that this instance turns out to hold already.
    fn start_holding(&self, lease: &InstanceLease, revision: Revision) -> OrderLock {
        let gap = self.shared.settings.order_gap + GAP_MARGIN;
        let lock = OrderLock::new(lease, revision, boot_time(), gap);
        self.log_holder(true, lock.fencing, "nobody held it");
        // A holder of the incarnation before may not have noticed yet, but its lease ends.
        let ttl = LEASE_TTL.max(self.shared.settings.min_lease);
        let since = self.shared.incarnation_since();
        lock.not_before(since.map_or(Duration::ZERO, |since| since + ttl + gap))
    }

    fn log_lock_lost(&self, held_lock: Option<OrderLock>, reason: &str) {
        if let Some(held) = held_lock {
            self.log_holder(false, held.fencing, reason);
        }
    }

    /// Deletes the lock's key, unless another holder has written it since.
    pub(super) async fn release_lock(&self, held: OrderLock) {
        let release = Txn {
            compares: vec![Compare::ModRevision(HOLDER_KEY.to_owned(), held.revision)],
            success: vec![Op::Delete(HOLDER_KEY.to_owned())],
            ..Txn::default()
        };
        if let Err(error) = self.shared.kv.txn(release).await {
            log::info!("failed to release the order lock, it expires with its lease: {error}");
        }
        self.log_holder(false, held.fencing, "this instance stops");
    }

    fn log_holder(&self, held: bool, fencing: u64, reason: &str) {
        self.shared.log.emit(&Event::Holder {
            held,
            fencing,
            reason: reason.to_owned(),
        });
    }
}
