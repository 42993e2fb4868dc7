//! Acquires, keeps and releases the order lock.

use {
    super::OrderIssuer,
    crate::{
        FencingRecord, HolderRecord, InstanceLease, Item, KnownFencing, KnownHolder, OrderLock,
        Platform,
        fencing::{next_token, time_of_day},
        membership::LEASE_TTL,
        own_keys::{FENCING_KEY, HOLDER_KEY},
        shared::RANK_DELAY,
    },
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
        match &holder {
            Some(holder) if self.is_outdated(&lease, holder) => {
                self.log_lock_lost(held_lock, "a higher fencing token is known");
            }
            Some(holder) if self.is_own(&lease, holder) => {
                let kept = held_lock.filter(|held| held.revision == holder.revision);
                // The key is ours but this task has no matching lock: the response to the request that
                // acquired it was lost, or this task was restarted.
                return Some(
                    kept.unwrap_or_else(|| {
                        self.start_holding(&lease, holder, "it holds it already")
                    }),
                );
            }
            Some(holder) => {
                self.log_lock_lost(held_lock, "another instance or an earlier lease holds it");
                // A service that came back from an older copy may give a lease out again. A record that
                // another instance bound to ours would stay as long as we renew it.
                if self.is_held(&lease, holder) {
                    return None;
                }
            }
            None => self.log_lock_lost(held_lock, "its key is gone"),
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
        if holder.as_ref().is_some_and(|it| self.is_held(&lease, it)) {
            return None;
        }
        let is_renewed = holder.as_ref().is_some_and(|it| self.is_own(&lease, it));
        let fencing = self.shared.known().fencing().clone();
        let record = HolderRecord {
            instance: self.shared.settings.instance.clone(),
            lease: lease.id,
            fencing: next_token(fencing.highest, &lease.incarnation, time_of_day()),
        };
        let acquire = acquire_txn(&record, holder.as_ref(), &fencing)?;
        match self.shared.kv.txn(acquire).await {
            Ok(outcome) if outcome.succeeded => {
                let revision = outcome.revision;
                let holder = KnownHolder { record, revision };
                self.note_acquired(&holder);
                let reason = if is_renewed {
                    "a higher fencing token is known"
                } else {
                    "nobody held it"
                };
                Some(self.start_holding(&lease, &holder, reason))
            }
            Ok(_) => None,
            Err(error) => {
                log::info!("failed to acquire the order lock: {error}");
                None
            }
        }
    }

    /// Takes over what this instance has written, before it is delivered as a change.
    fn note_acquired(&self, holder: &KnownHolder) {
        let record = &holder.record;
        let items = [
            Item::Holder(record.clone()),
            Item::Fencing(fencing_record(record)),
        ];
        let mut known = self.shared.known();
        for item in items {
            known.put("", item, holder.revision, boot_time());
        }
    }

    /// Whether an instance holds the lock by this record. Nobody does by one that can't be read, by one that
    /// another instance bound to the lease of this one, or by an outdated one of its own.
    fn is_held(&self, lease: &InstanceLease, holder: &KnownHolder) -> bool {
        let names_nobody = holder.record.instance.is_empty();
        let is_bound_to_other = holder.record.lease != lease.id;
        let is_valid = self.is_own(lease, holder) && !self.is_outdated(lease, holder);
        !names_nobody && (is_bound_to_other || is_valid)
    }

    /// Whether this instance wrote the lock's record, bound to its present lease.
    fn is_own(&self, lease: &InstanceLease, holder: &KnownHolder) -> bool {
        let is_own_name = holder.record.instance == self.shared.settings.instance;
        is_own_name && holder.record.lease == lease.id
    }

    /// Whether this instance holds the lock with a fencing token that is lower than one that is known: the
    /// service, and this instance, did not know the higher one when the lock was acquired.
    fn is_outdated(&self, lease: &InstanceLease, holder: &KnownHolder) -> bool {
        let highest = self.shared.known().fencing().highest;
        self.is_own(lease, holder) && holder.record.fencing < highest
    }

    /// Creates and logs a lock that becomes usable after the order gap, counted from now. Also used
    /// for a lock that this instance turns out to hold already.
    fn start_holding(
        &self,
        lease: &InstanceLease,
        holder: &KnownHolder,
        reason: &str,
    ) -> OrderLock {
        let gap = self.shared.settings.order_gap + GAP_MARGIN;
        let fencing = holder.record.fencing;
        let lock = OrderLock::new(lease, holder.revision, fencing, boot_time(), gap);
        self.log_holder(true, lock.fencing, reason);
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

/// Builds the transaction that replaces `holder` by `record`, unless another instance has acquired the lock, or
/// a higher fencing token has been given, since `holder` and `fencing` were read. Returns `None` if a record
/// can't be written.
fn acquire_txn(
    record: &HolderRecord,
    holder: Option<&KnownHolder>,
    fencing: &KnownFencing,
) -> Option<Txn> {
    let holder_value = serde_json::to_vec(record).ok()?;
    let fencing_value = serde_json::to_vec(&fencing_record(record)).ok()?;
    Some(Txn {
        compares: vec![
            Compare::unchanged(HOLDER_KEY.to_owned(), holder.map(|it| it.revision)),
            Compare::unchanged(FENCING_KEY.to_owned(), fencing.revision),
        ],
        success: vec![
            Op::Put(
                HOLDER_KEY.to_owned(),
                holder_value.into(),
                Some(record.lease),
            ),
            Op::Put(FENCING_KEY.to_owned(), fencing_value.into(), None),
        ],
        ..Txn::default()
    })
}

/// Returns what the service keeps of the token of a holder.
fn fencing_record(holder: &HolderRecord) -> FencingRecord {
    FencingRecord {
        highest: holder.fencing,
        holder: holder.instance.clone(),
    }
}
