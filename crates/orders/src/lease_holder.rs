//! Leases on targets: which instance may give a target orders.

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

/// Targets whose keys are written in one call.
const MAX_GROUP_COUNT: usize = 64;

/// How leases are held.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeaseHolderSettings {
    /// Instance that holds the lease.
    pub instance: InstanceId,
    /// Time to live of the lease.
    pub ttl: Duration,
    /// The holder stops this long before its lease can lapse. At least the longest time that an
    /// order takes to arrive.
    pub margin: Duration,
}

impl LeaseHolderSettings {
    /// The defaults for one instance.
    #[must_use]
    pub fn new(instance: InstanceId) -> Self {
        Self {
            instance,
            ttl: Duration::from_secs(30),
            margin: Duration::from_secs(6),
        }
    }

    /// With another time to live and margin.
    #[must_use]
    pub fn ttl(mut self, ttl: Duration, margin: Duration) -> Self {
        self.ttl = ttl;
        self.margin = margin;
        self
    }
}

/// A lease that was granted to this instance.
#[derive(Clone, Copy, Debug)]
struct Current {
    id: LeaseId,
    ttl: Duration,
    renew_at: Instant,
    stop_at: Instant,
}

/// A target that this instance holds.
#[derive(Clone, Copy, Debug)]
struct Held {
    fencing_token: Revision,
    orders_from: Instant,
}

/// The right to give orders to targets, under one lease for the whole instance.
///
/// A target's key is created only if absent; the revision of its creation is the fencing number.
/// The holder trusts only its own monotonic clock: it stops `margin` before its lease can lapse,
/// counted from before the last renewal was sent. A new holder waits `ttl + margin` before it gives
/// orders to a target that doesn't check fencing numbers.
#[derive(Debug)]
pub struct LeaseHolder<Kv> {
    kv: Kv,
    settings: LeaseHolderSettings,
    lease: Option<Current>,
    held: BTreeMap<TargetId, Held>,
    /// Targets whose creation was not answered.
    uncertain: BTreeSet<TargetId>,
    /// Targets that are no longer wanted and whose key may still be there.
    releasing: BTreeMap<TargetId, Revision>,
}

impl<Kv> LeaseHolder<Kv>
where
    Kv: KeyValue,
{
    /// Holds nothing yet.
    #[must_use]
    pub fn new(kv: Kv, settings: LeaseHolderSettings) -> Self {
        Self {
            kv,
            settings,
            lease: None,
            held: BTreeMap::new(),
            uncertain: BTreeSet::new(),
            releasing: BTreeMap::new(),
        }
    }

    /// Renews the lease when a third of its time is over, or asks for a new one.
    ///
    /// # Errors
    /// [`KvError`] if the service did not answer; what is held stays valid until it stops itself.
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
                self.lease = Some(self.current(lease.id, renewed.ttl, sent_at));
                Ok(())
            }
            Err(KvError::Refused { .. }) => {
                self.forget();
                self.grant().await
            }
            Err(error) => Err(error),
        }
    }

    /// Takes the wanted targets that nobody holds and lets go of the others.
    ///
    /// # Errors
    /// [`KvError`] if the service did not answer; call it again.
    pub async fn sync(&mut self, wanted: &BTreeSet<TargetId>) -> Result<(), KvError> {
        if self.uncertain.iter().any(|target| !wanted.contains(target)) {
            // The creation may still take effect. Without its lease it can't.
            self.resign().await;
            return self.grant().await;
        }
        self.let_go(wanted);
        self.release().await?;
        let Some(lease) = self.lease else {
            return Ok(());
        };
        let missing: Vec<TargetId> = wanted
            .iter()
            .filter(|target| !self.held.contains_key(*target))
            .cloned()
            .collect();
        for group in missing.chunks(MAX_GROUP_COUNT) {
            self.create(lease, group).await?;
        }
        Ok(())
    }

    /// The fencing number for an order that is sent now, or none if this instance may not give
    /// one. Ask immediately before each order.
    #[must_use]
    pub fn fencing_token(&self, target: &TargetId, checks_fencing: bool) -> Option<Revision> {
        let now = Instant::now();
        if self.lease.is_none_or(|lease| now >= lease.stop_at) {
            return None;
        }
        let held = self.held.get(target)?;
        let may_order = checks_fencing || now >= held.orders_from;
        may_order.then_some(held.fencing_token)
    }

    /// Lets go of a target that refused this instance's fencing number as old.
    pub fn mark_lost(&mut self, target: &TargetId) {
        self.held.remove(target);
    }

    /// Targets that are held, whether or not orders may be given yet.
    pub fn held_targets(&self) -> impl Iterator<Item = &TargetId> {
        self.held.keys()
    }

    /// The lease under which this instance may bind keys of its own.
    #[must_use]
    pub fn lease_id(&self) -> Option<LeaseId> {
        self.lease.map(|lease| lease.id)
    }

    /// Stops giving orders and ends the lease, as before a shutdown.
    pub async fn resign(&mut self) {
        let lease = self.lease;
        self.forget();
        if let Some(lease) = lease
            && let Err(error) = self.kv.revoke(lease.id).await
        {
            log::warn!("lease {} is left to lapse: {error}", lease.id);
        }
    }

    async fn grant(&mut self) -> Result<(), KvError> {
        let sent_at = Instant::now();
        let granted = self.kv.grant(self.settings.ttl).await?;
        self.lease = Some(self.current(granted.id, granted.ttl, sent_at));
        Ok(())
    }

    fn current(&self, id: LeaseId, ttl: Duration, sent_at: Instant) -> Current {
        Current {
            id,
            ttl,
            renew_at: sent_at + ttl / 3,
            stop_at: sent_at + ttl.saturating_sub(self.settings.margin),
        }
    }

    fn forget(&mut self) {
        self.lease = None;
        self.held.clear();
        self.uncertain.clear();
        self.releasing.clear();
    }

    fn let_go(&mut self, wanted: &BTreeSet<TargetId>) {
        let releasing = &mut self.releasing;
        self.held.retain(|target, held| {
            let keep = wanted.contains(target);
            if !keep {
                releasing.insert(target.clone(), held.fencing_token);
            }
            keep
        });
    }

    async fn release(&mut self) -> Result<(), KvError> {
        let releasing: Vec<(TargetId, Revision)> = self.releasing.clone().into_iter().collect();
        for group in releasing.chunks(MAX_GROUP_COUNT) {
            let steps = group
                .iter()
                .map(|(target, fencing_token)| delete(target, *fencing_token));
            self.kv.txn(all(steps)).await?;
            for (target, _) in group {
                self.releasing.remove(target);
            }
        }
        Ok(())
    }

    async fn create(&mut self, lease: Current, group: &[TargetId]) -> Result<(), KvError> {
        let record = HolderRecord {
            instance: self.settings.instance.clone(),
            lease: lease.id,
        };
        let steps = group.iter().map(|target| create(target, &record));
        let outcome = match self.kv.txn(all(steps)).await {
            Ok(outcome) => outcome,
            Err(error) => {
                if matches!(error, KvError::Unknown { .. }) {
                    self.uncertain.extend(group.iter().cloned());
                }
                return Err(error);
            }
        };
        for (target, nested) in group.iter().zip(&outcome.nested) {
            self.take(target, nested, lease);
        }
        Ok(())
    }

    /// Records a target as held if its key was created now, or earlier under the same lease.
    fn take(&mut self, target: &TargetId, outcome: &TxnOutcome, lease: Current) {
        self.uncertain.remove(target);
        let fencing_token = if outcome.succeeded {
            Some(outcome.revision)
        } else {
            outcome.pairs.first().and_then(|pair| own(pair, lease.id))
        };
        if let Some(fencing_token) = fencing_token {
            let orders_from = Instant::now() + lease.ttl + self.settings.margin;
            let held = Held {
                fencing_token,
                orders_from,
            };
            self.held.insert(target.clone(), held);
        }
    }
}

/// Fencing number of a key that was created under `lease`.
fn own(pair: &KvPair, lease: LeaseId) -> Option<Revision> {
    let record = HolderRecord::parse(pair)?;
    (record.lease == lease).then_some(pair.create_revision)
}

fn create(target: &TargetId, record: &HolderRecord) -> Txn {
    let key = holder_key(target);
    Txn {
        compares: vec![Compare::Absent(key.clone())],
        success: vec![Op::Put(key.clone(), record.encode(), Some(record.lease))],
        failure: vec![Op::Get(key)],
    }
}

fn delete(target: &TargetId, fencing_token: Revision) -> Txn {
    let key = holder_key(target);
    Txn {
        compares: vec![Compare::CreateRevision(key.clone(), fencing_token)],
        success: vec![Op::Delete(key)],
        ..Txn::default()
    }
}

fn all<Steps>(steps: Steps) -> Txn
where
    Steps: Iterator<Item = Txn>,
{
    Txn {
        success: steps.map(Op::Txn).collect(),
        ..Txn::default()
    }
}
