//! Acquires, keeps and releases the order lock.

use {
    super::OrderIssuer,
    crate::{
        HolderRecord, InstanceLease, Item, OrderLock, Platform, own_keys::HOLDER_KEY,
        shared::RANK_DELAY,
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
        let lease = self.shared.lease()?;
        let own = &self.shared.settings.instance;
        let holder = self.shared.known().holder().cloned();
        if let Some(holder) = holder {
            let is_own = holder.record.instance == *own && holder.record.lease == lease.id;
            if !is_own {
                self.log_lock_lost(held_lock, "another instance or an earlier lease holds it");
                return None;
            }
            let kept = held_lock.filter(|held| held.fencing == holder.fencing);
            // The key is ours but this task has no matching lock: the response to the request that
            // acquired it was lost, or this task was restarted.
            return Some(kept.unwrap_or_else(|| self.start_holding(&lease, holder.fencing)));
        }
        self.log_lock_lost(held_lock, "its key is gone");
        if !self.shared.is_ready() {
            return None;
        }
        self.acquire_lock().await
    }

    /// Acquires the lock if it is still free after a delay by rank, which keeps the instances from
    /// competing for it.
    async fn acquire_lock(&self) -> Option<OrderLock> {
        sleep(RANK_DELAY * self.shared.rank()).await;
        if self.shared.known().holder().is_some() {
            return None;
        }
        let lease = self.shared.lease()?;
        let record = HolderRecord {
            instance: self.shared.settings.instance.clone(),
            lease: lease.id,
        };
        let value = serde_json::to_vec(&record).ok()?;
        let acquire = Txn {
            compares: vec![Compare::Absent(HOLDER_KEY.to_owned())],
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
    fn start_holding(&self, lease: &InstanceLease, fencing: Revision) -> OrderLock {
        let gap = self.shared.settings.order_gap + GAP_MARGIN;
        self.log_holder(true, fencing, "nobody held it");
        OrderLock::new(lease, fencing, boot_time(), gap)
    }

    fn log_lock_lost(&self, held_lock: Option<OrderLock>, reason: &str) {
        if let Some(held) = held_lock {
            self.log_holder(false, held.fencing, reason);
        }
    }

    /// Deletes the lock's key, unless another holder has written it since.
    pub(super) async fn release_lock(&self, held: OrderLock) {
        let release = Txn {
            compares: vec![Compare::ModRevision(HOLDER_KEY.to_owned(), held.fencing)],
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
