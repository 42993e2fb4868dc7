//! Leases on targets, which decide which instance may give orders to a target.

use {
    crate::{
        holder_record::{HolderRecord, holder_key},
        kept_token::{KeptToken, encode_token, fencing_key},
    },
    catalog::{InstanceId, Revision, TargetId},
    fencing::FencingToken,
    keyvalue::{Compare, KeyValue, KvError, KvPair, LeaseId, Op, Txn, TxnOutcome},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
    tokio::time::Instant,
};

/// Number of target keys that one transaction creates or deletes.
const MAX_KEYS_PER_TXN: usize = 64;
/// Attempts to create a target's key in one call of [`LeaseHolder::sync`]. The first one may show a higher
/// fencing token than this instance knows.
const CREATE_ATTEMPTS_COUNT: usize = 2;

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
    fencing_token: FencingToken,
    /// Revision at which this instance wrote the target's key.
    revision: Revision,
    /// When orders may begin to a target that does not check fencing tokens.
    may_order_from: Instant,
}

/// Holds targets, so that this instance alone gives them orders, under one lease for the whole
/// instance.
///
/// To hold a target is to have created its key in the key-value service. The key is created only if
/// no other instance has created it, together with a fencing token above all that are known. The holder relies only on
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
    /// What is known of the highest fencing token of each target.
    kept_tokens: BTreeMap<TargetId, KeptToken>,
    /// Targets at whose key another writer has written something, with its revision.
    foreign_records: BTreeMap<TargetId, Revision>,
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
            kept_tokens: BTreeMap::new(),
            foreign_records: BTreeMap::new(),
            unconfirmed: BTreeSet::new(),
            releasing: BTreeMap::new(),
        }
    }

    /// Renews the lease once a third of its time to live has passed, or requests a new one if there
    /// is none. With a renewal, drops the held targets whose key the service has no more: one that came back
    /// from an older copy may have the lease without them.
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
                // Until this is known, the holder relies on the renewal before.
                self.drop_lost_targets(lease.id).await?;
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
        let mut missing: Vec<TargetId> = wanted
            .iter()
            .filter(|target| !self.held.contains_key(*target))
            .cloned()
            .collect();
        for _ in 0..CREATE_ATTEMPTS_COUNT {
            let mut free = Vec::new();
            for group in missing.chunks(MAX_KEYS_PER_TXN) {
                free.extend(self.create_keys(lease, group).await?);
            }
            missing = free;
        }
        Ok(())
    }

    /// Returns the fencing token for an order that is sent now, or `None` if this instance may not
    /// give orders to the target. Call it immediately before each order.
    #[must_use]
    pub fn fencing_token(&self, target: &TargetId, checks_fencing: bool) -> Option<FencingToken> {
        let now = Instant::now();
        if self.lease.is_none_or(|lease| now >= lease.stop_at) {
            return None;
        }
        let held = self.held.get(target)?;
        let may_order = checks_fencing || now >= held.may_order_from;
        may_order.then_some(held.fencing_token)
    }

    /// Drops a target that refused this instance's fencing token as stale, since it has seen `newest`. Its
    /// key is deleted, so that whoever holds the target next has a higher token.
    pub fn mark_lost(&mut self, target: &TargetId, newest: FencingToken) {
        self.kept_token(target).note(newest);
        if let Some(held) = self.held.remove(target) {
            self.releasing.insert(target.clone(), held.revision);
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

    /// Drops the held targets whose key is no longer as this instance wrote it.
    async fn drop_lost_targets(&mut self, lease: LeaseId) -> Result<(), KvError> {
        let held: Vec<TargetId> = self.held.keys().cloned().collect();
        for group in held.chunks(MAX_KEYS_PER_TXN) {
            let reads = group.iter().map(|target| Op::Get(holder_key(target)));
            let read = Txn {
                success: reads.collect(),
                ..Txn::default()
            };
            let pairs = self.kv.txn(read).await?.pairs;
            for target in group {
                let key = holder_key(target);
                let current = pairs.iter().find(|pair| pair.key == key);
                if !current.is_some_and(|pair| self.is_held_by(target, pair, lease)) {
                    log::warn!(
                        "the key-value service has lost the lease on {target}; giving no more orders to it"
                    );
                    self.held.remove(target);
                }
            }
        }
        Ok(())
    }

    /// Whether a target's key is as this instance wrote it when it acquired the target.
    fn is_held_by(&self, target: &TargetId, pair: &KvPair, lease: LeaseId) -> bool {
        let Some(record) = own_record(pair, lease) else {
            return false;
        };
        self.held.get(target).is_some_and(|held| {
            let is_own_name = record.instance == self.settings.instance;
            is_own_name
                && pair.mod_revision == held.revision
                && record.fencing == held.fencing_token
        })
    }

    fn kept_token(&mut self, target: &TargetId) -> &mut KeptToken {
        self.kept_tokens.entry(target.clone()).or_default()
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
                releasing.insert(target.clone(), held.revision);
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
                .map(|(target, revision)| delete_txn(target, *revision));
            self.kv.txn(combined_txn(deletes)).await?;
            for (target, _) in group {
                self.releasing.remove(target);
            }
        }
        Ok(())
    }

    /// Creates the keys of `group` under `lease` where they are absent. If the answer is lost, the
    /// targets count as unconfirmed. Returns the targets that no instance holds although their key was not
    /// created, since another fencing token is kept than this instance knew.
    async fn create_keys(
        &mut self,
        lease: GrantedLease,
        group: &[TargetId],
    ) -> Result<Vec<TargetId>, KvError> {
        let tokens: Vec<FencingToken> = group
            .iter()
            .map(|target| self.kept_token(target).next_token())
            .collect();
        let creates = group
            .iter()
            .zip(&tokens)
            .map(|(target, token)| self.create_txn(target, lease.id, *token));
        let create = combined_txn(creates);
        let outcome = match self.kv.txn(create).await {
            Ok(outcome) => outcome,
            Err(error) => {
                if matches!(error, KvError::Unknown { .. }) {
                    self.unconfirmed.extend(group.iter().cloned());
                }
                return Err(error);
            }
        };
        let mut free = Vec::new();
        for ((target, token), nested) in group.iter().zip(tokens).zip(&outcome.nested) {
            self.unconfirmed.remove(target);
            if nested.succeeded {
                self.foreign_records.remove(target);
                self.kept_token(target).set_written(token, nested.revision);
                self.record_held(target, token, nested.revision, lease);
            } else if self.note_current(target, nested, lease) {
                free.push(target.clone());
            }
        }
        Ok(free)
    }

    /// Creates a target's key if no instance has created it and the kept fencing token is as known, and
    /// otherwise reads both.
    fn create_txn(&mut self, target: &TargetId, lease: LeaseId, token: FencingToken) -> Txn {
        let record = HolderRecord {
            instance: self.settings.instance.clone(),
            lease,
            fencing: token,
        };
        let holder_key = holder_key(target);
        let fencing_key = fencing_key(target);
        let foreign_revision = self.foreign_records.get(target).copied();
        let is_free = Compare::unchanged(holder_key.clone(), foreign_revision);
        Txn {
            compares: vec![is_free, self.kept_token(target).unchanged(target)],
            success: vec![
                Op::Put(holder_key.clone(), record.encode(), Some(lease)),
                Op::Put(fencing_key.clone(), encode_token(token), None),
            ],
            failure: vec![Op::Get(holder_key), Op::Get(fencing_key)],
        }
    }

    /// Takes over what the service has of a target whose key was not created now. It may have been created
    /// earlier under the same lease. Returns whether no instance holds the target.
    fn note_current(
        &mut self,
        target: &TargetId,
        outcome: &TxnOutcome,
        lease: GrantedLease,
    ) -> bool {
        let find = |key: String| outcome.pairs.iter().find(|pair| pair.key == key);
        let holder = find(holder_key(target));
        self.kept_token(target)
            .set_record(find(fencing_key(target)));
        if let Some(pair) = holder
            && let Some(record) = own_record(pair, lease.id)
        {
            self.record_held(target, record.fencing, pair.mod_revision, lease);
        }
        self.foreign_records.remove(target);
        let foreign = holder.filter(|pair| !HolderRecord::is_of_instance(pair));
        if let Some(foreign) = foreign {
            log::warn!(
                "replacing what another writer has written at {}",
                foreign.key
            );
            self.foreign_records
                .insert(target.clone(), foreign.mod_revision);
        }
        holder.is_none() || foreign.is_some()
    }

    /// Records a target as held.
    fn record_held(
        &mut self,
        target: &TargetId,
        fencing_token: FencingToken,
        revision: Revision,
        lease: GrantedLease,
    ) {
        let held = HeldTarget {
            fencing_token,
            revision,
            may_order_from: Instant::now() + lease.ttl + self.settings.margin,
        };
        self.held.insert(target.clone(), held);
    }
}

/// Returns the record of a target's key if it was written under `lease`.
fn own_record(pair: &KvPair, lease: LeaseId) -> Option<HolderRecord> {
    HolderRecord::parse(pair).filter(|record| record.lease == lease)
}

/// Deletes a target's key unless another holder has written it since `revision`.
fn delete_txn(target: &TargetId, revision: Revision) -> Txn {
    let key = holder_key(target);
    Txn {
        compares: vec![Compare::ModRevision(key.clone(), revision)],
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
