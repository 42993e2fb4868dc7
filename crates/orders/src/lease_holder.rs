//! Leases on targets, which decide which instance may give orders to a target.

use {
    crate::holder_record::{HolderRecord, holder_key},
    catalog::{InstanceId, Revision, TargetId},
    keyvalue::{Compare, KeyValue, KvError, KvPair, LeaseId, Op, Txn, TxnOutcome},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
    tokio::time::Instant,
};

/// Number of target keys that one transaction creates or deletes.
const MAX_KEYS_PER_TXN: usize = 64;

/// Settings of a [`LeaseHolder`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeaseHolderSettings {
    /// Instance that holds the lease.
    pub instance: InstanceId,
    /// Time to live that is asked for when the lease is granted.
    pub ttl: Duration,
    /// The holder stops giving orders this long before its lease can expire. It must be at least
    /// the longest time that an order takes to arrive, so that no order arrives after the expiry.
    pub margin: Duration,
}

impl LeaseHolderSettings {
    /// Returns the default settings for `instance`.
    #[must_use]
    pub fn new(instance: InstanceId) -> Self {
        Self {
            instance,
            ttl: Duration::from_secs(30),
            margin: Duration::from_secs(6),
        }
    }

    /// Sets the time to live and the margin.
    #[must_use]
    pub fn ttl(mut self, ttl: Duration, margin: Duration) -> Self {
        self.ttl = ttl;
        self.margin = margin;
        self
    }
}

/// The lease of this instance, with the times that follow from its last renewal.
#[derive(Clone, Copy, Debug)]
struct GrantedLease {
    id: LeaseId,
    ttl: Duration,
    renew_at: Instant,
    /// From then on no orders are given under this lease, unless it is renewed.
    stop_at: Instant,
}

/// A target that this instance holds.
#[derive(Clone, Copy, Debug)]
struct HeldTarget {
    fencing_token: Revision,
    /// When orders may begin to a target that does not check fencing tokens.
    may_order_from: Instant,
}

/// Holds targets, so that this instance alone gives them orders, under one lease for the whole
/// instance.
///
/// To hold a target is to have created its key in the key-value service. The key is created only if
/// it is absent, and the revision of its creation is the fencing token. The holder relies only on
/// its own monotonic clock: it stops `margin` before its lease can expire, counted from the moment
/// before the last renewal was sent. A new holder waits `ttl + margin` before it gives orders to a
/// target that does not check fencing tokens: the previous holder may still rely on its lease, and
/// its last order may still be on its way.
#[derive(Debug)]
pub struct LeaseHolder<Kv> {
    kv: Kv,
    settings: LeaseHolderSettings,
    lease: Option<GrantedLease>,
    held: BTreeMap<TargetId, HeldTarget>,
    /// Targets for which it is unknown whether the key was created.
    unconfirmed: BTreeSet<TargetId>,
    /// Targets that are no longer wanted, or refused the fencing token, but whose key may still exist.
    releasing: BTreeMap<TargetId, Revision>,
}

impl<Kv> LeaseHolder<Kv>
where
    Kv: KeyValue,
{
    /// Creates a holder without a lease and without targets.
    #[must_use]
    pub fn new(kv: Kv, settings: LeaseHolderSettings) -> Self {
        Self {
            kv,
            settings,
            lease: None,
            held: BTreeMap::new(),
            unconfirmed: BTreeSet::new(),
            releasing: BTreeMap::new(),
        }
    }

    /// Renews the lease once a third of its time to live has passed, or requests a new one if there
    /// is none.
    ///
    /// # Errors
    /// Returns [`KvError`] if the service did not answer. Held targets then stay held until the
    /// margin before the lease's expiry.
    pub async fn renew(&mut self) -> Result<(), KvError> {
        let Some(lease) = self.lease else {
            return self.grant().await;
        };
        let sent_at = Instant::now();
        if sent_at < lease.renew_at {
            return Ok(());
        }
        match self.kv.keep_alive(lease.id).await {
            Ok(renewed) => {
                self.lease = Some(self.granted_lease(lease.id, renewed.ttl, sent_at));
                Ok(())
            }
            Err(KvError::Refused { .. }) => {
                self.clear();
                self.grant().await
            }
            Err(error) => Err(error),
        }
    }

    /// Acquires the wanted targets that no instance holds and releases the held ones that are not
    /// wanted.
    ///
    /// # Errors
    /// Returns [`KvError`] if the service did not answer; the call may be repeated.
    pub async fn sync(&mut self, wanted: &BTreeSet<TargetId>) -> Result<(), KvError> {
        if self
            .unconfirmed
            .iter()
            .any(|target| !wanted.contains(target))
        {
            // The creation may still take effect. It can't once its lease is revoked.
            self.resign().await;
            return self.grant().await;
        }
        self.start_releasing(wanted);
        self.delete_released_keys().await?;
        let Some(lease) = self.lease else {
            return Ok(());
        };
        let missing: Vec<TargetId> = wanted
            .iter()
            .filter(|target| !self.held.contains_key(*target))
            .cloned()
            .collect();
        for group in missing.chunks(MAX_KEYS_PER_TXN) {
            self.create_keys(lease, group).await?;
        }
        Ok(())
    }

    /// Returns the fencing token for an order that is sent now, or `None` if this instance may not
    /// give orders to the target. Call it immediately before each order.
    #[must_use]
    pub fn fencing_token(&self, target: &TargetId, checks_fencing: bool) -> Option<Revision> {
        let now = Instant::now();
        if self.lease.is_none_or(|lease| now >= lease.stop_at) {
            return None;
        }
        let held = self.held.get(target)?;
        let may_order = checks_fencing || now >= held.may_order_from;
        may_order.then_some(held.fencing_token)
    }

    /// Drops a target that refused this instance's fencing token as stale. Its key is deleted, so that
    /// whoever holds the target next has a higher token.
    pub fn mark_lost(&mut self, target: &TargetId) {
        if let Some(held) = self.held.remove(target) {
            self.releasing.insert(target.clone(), held.fencing_token);
        }
    }

    /// Iterates over the held targets, including those to which no orders may be given yet.
    pub fn held_targets(&self) -> impl Iterator<Item = &TargetId> {
        self.held.keys()
    }

    /// Returns the current lease, to which the instance may bind other keys of its own.
    #[must_use]
    pub fn lease_id(&self) -> Option<LeaseId> {
        self.lease.map(|lease| lease.id)
    }

    /// Releases all targets and revokes the lease, for example before a shutdown.
    pub async fn resign(&mut self) {
        let lease = self.lease;
        self.clear();
        if let Some(lease) = lease
            && let Err(error) = self.kv.revoke(lease.id).await
        {
            log::warn!(
                "lease {} could not be revoked and will expire: {error}",
                lease.id
            );
        }
    }

    async fn grant(&mut self) -> Result<(), KvError> {
        let sent_at = Instant::now();
        let granted = self.kv.grant(self.settings.ttl).await?;
        self.lease = Some(self.granted_lease(granted.id, granted.ttl, sent_at));
        Ok(())
    }

    fn granted_lease(&self, id: LeaseId, ttl: Duration, sent_at: Instant) -> GrantedLease {
        GrantedLease {
            id,
            ttl,
            renew_at: sent_at + ttl / 3,
            stop_at: sent_at + ttl.saturating_sub(self.settings.margin),
        }
    }

    /// Forgets the lease and all targets, without a call to the service.
    fn clear(&mut self) {
        self.lease = None;
        self.held.clear();
        self.unconfirmed.clear();
        self.releasing.clear();
    }

    /// Stops holding the targets that are not wanted; their keys are still to be deleted.
    fn start_releasing(&mut self, wanted: &BTreeSet<TargetId>) {
        let releasing = &mut self.releasing;
        self.held.retain(|target, held| {
            let keep = wanted.contains(target);
            if !keep {
                releasing.insert(target.clone(), held.fencing_token);
            }
            keep
        });
    }

    /// Deletes the keys of released targets. Those without a confirmed deletion are tried again by the
    /// next call.
    async fn delete_released_keys(&mut self) -> Result<(), KvError> {
        let releasing: Vec<(TargetId, Revision)> = self.releasing.clone().into_iter().collect();
        for group in releasing.chunks(MAX_KEYS_PER_TXN) {
            let deletes = group
                .iter()
                .map(|(target, fencing_token)| delete_txn(target, *fencing_token));
            self.kv.txn(combined_txn(deletes)).await?;
            for (target, _) in group {
                self.releasing.remove(target);
            }
        }
        Ok(())
    }

    /// Creates the keys of `group` under `lease` where they are absent. If the answer is lost, the
    /// targets count as unconfirmed.
    async fn create_keys(
        &mut self,
        lease: GrantedLease,
        group: &[TargetId],
    ) -> Result<(), KvError> {
        let record = HolderRecord {
            instance: self.settings.instance.clone(),
            lease: lease.id,
        };
        let creates = group.iter().map(|target| create_txn(target, &record));
        let outcome = match self.kv.txn(combined_txn(creates)).await {
            Ok(outcome) => outcome,
            Err(error) => {
                if matches!(error, KvError::Unknown { .. }) {
                    self.unconfirmed.extend(group.iter().cloned());
                }
                return Err(error);
            }
        };
        for (target, nested) in group.iter().zip(&outcome.nested) {
            self.record_creation(target, nested, lease);
        }
        Ok(())
    }

    /// Records a target as held if its key was created now, or earlier under the same lease.
    fn record_creation(&mut self, target: &TargetId, outcome: &TxnOutcome, lease: GrantedLease) {
        self.unconfirmed.remove(target);
        let fencing_token = if outcome.succeeded {
            Some(outcome.revision)
        } else {
            outcome
                .pairs
                .first()
                .and_then(|pair| own_fencing_token(pair, lease.id))
        };
        if let Some(fencing_token) = fencing_token {
            let may_order_from = Instant::now() + lease.ttl + self.settings.margin;
            let held = HeldTarget {
                fencing_token,
                may_order_from,
            };
            self.held.insert(target.clone(), held);
        }
    }
}

/// Returns the fencing token of a target's key if the key was created under `lease`.
fn own_fencing_token(pair: &KvPair, lease: LeaseId) -> Option<Revision> {
    let record = HolderRecord::parse(pair)?;
    (record.lease == lease).then_some(pair.create_revision)
}

/// Creates a target's key if it is absent, and otherwise reads it.
fn create_txn(target: &TargetId, record: &HolderRecord) -> Txn {
    let key = holder_key(target);
    Txn {
        compares: vec![Compare::Absent(key.clone())],
        success: vec![Op::Put(key.clone(), record.encode(), Some(record.lease))],
        failure: vec![Op::Get(key)],
    }
}

/// Deletes a target's key unless another holder has created it anew.
fn delete_txn(target: &TargetId, fencing_token: Revision) -> Txn {
    let key = holder_key(target);
    Txn {
        compares: vec![Compare::CreateRevision(key.clone(), fencing_token)],
        success: vec![Op::Delete(key)],
        ..Txn::default()
    }
}

/// Combines transactions on different keys into one call.
fn combined_txn<Txns>(txns: Txns) -> Txn
where
    Txns: Iterator<Item = Txn>,
{
    Txn {
        success: txns.map(Op::Txn).collect(),
        ..Txn::default()
    }
}
