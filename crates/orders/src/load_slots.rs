//! Slots in the key-value service that limit how many targets of the whole fleet load at once.

use {
    crate::{LoadLimits, PlannedOrder},
    bytes::Bytes,
    catalog::{ModelId, Revision, TargetId},
    keyvalue::{Compare, KeyValue, KvError, LeaseId, Op, Range, Txn},
    serde::{Deserialize, Serialize},
    std::collections::{BTreeMap, BTreeSet},
};

/// Key prefix of all slots.
const SLOT_PREFIX: &str = "/rattan/load/slot/";
/// Key that is written with each slot that is acquired, so that two instances cannot acquire a slot
/// based on the same snapshot.
const GUARD_KEY: &str = "/rattan/load/guard";
/// Key prefix of the slots and the guard.
const LOAD_PREFIX: &str = "/rattan/load/";

/// Value under a slot's key.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
struct SlotRecord {
    target: TargetId,
    models: Vec<ModelId>,
    lease: LeaseId,
}

impl SlotRecord {
    fn encode(&self) -> Bytes {
        serde_json::to_vec(self).unwrap_or_default().into()
    }
}

/// A slot in use.
#[derive(Clone, Debug)]
struct Slot {
    record: SlotRecord,
    create_revision: Revision,
}

/// The slots in use and the guard's revision, as of one read.
#[derive(Clone, Debug, Default)]
struct Snapshot {
    slots: Vec<Slot>,
    guard_revision: Revision,
}

/// Acquires and frees slots. A slot's key is bound to its holder's lease, so it is deleted when the
/// lease expires.
#[derive(Debug)]
pub(crate) struct LoadSlots<Kv> {
    kv: Kv,
    limits: LoadLimits,
}

impl<Kv> LoadSlots<Kv>
where
    Kv: KeyValue,
{
    /// Creates a handle to the slots in `kv`. `limits` bounds how many may be in use.
    pub(crate) fn new(kv: Kv, limits: LoadLimits) -> Self {
        Self { kv, limits }
    }

    /// Acquires a slot for one load. Returns false if none is free or if another instance acquired
    /// one at the same time. Returns true without a write if the target already has one under
    /// `lease`.
    pub(crate) async fn acquire(
        &self,
        planned: &PlannedOrder,
        lease: LeaseId,
        engine_counts: &BTreeMap<ModelId, usize>,
    ) -> Result<bool, KvError> {
        let snapshot = self.read().await?;
        if snapshot.has_slot(&planned.target, lease) {
            return Ok(true);
        }
        if !self.is_free(&snapshot, planned, engine_counts) {
            return Ok(false);
        }
        let record = SlotRecord {
            target: planned.target.clone(),
            models: planned.models.clone(),
            lease,
        };
        let acquire = acquire_txn(&record, snapshot.guard_revision);
        Ok(self.kv.txn(acquire).await?.succeeded)
    }

    /// Frees the slots under `lease` whose target is not in `loading`.
    pub(crate) async fn free_ended(
        &self,
        lease: LeaseId,
        loading: &BTreeSet<TargetId>,
    ) -> Result<(), KvError> {
        let snapshot = self.read().await?;
        let ended = snapshot
            .slots
            .iter()
            .filter(|slot| slot.record.lease == lease && !loading.contains(&slot.record.target));
        for slot in ended {
            self.kv.txn(free_txn(slot)).await?;
        }
        Ok(())
    }

    async fn read(&self) -> Result<Snapshot, KvError> {
        Ok(Snapshot::from(self.kv.range(LOAD_PREFIX).await?))
    }

    /// Whether the limits for the fleet and for each affected model allow one more load.
    fn is_free(
        &self,
        snapshot: &Snapshot,
        planned: &PlannedOrder,
        engine_counts: &BTreeMap<ModelId, usize>,
    ) -> bool {
        if snapshot.slots.len() >= self.limits.max_load_count {
            return false;
        }
        planned.models.iter().all(|model| {
            let engine_count = engine_counts.get(model).copied().unwrap_or(0);
            snapshot.loading_count(model) < self.limits.max_model_load_count(engine_count)
        })
    }
}

impl Snapshot {
    fn has_slot(&self, target: &TargetId, lease: LeaseId) -> bool {
        self.slots
            .iter()
            .any(|slot| slot.record.target == *target && slot.record.lease == lease)
    }

    fn loading_count(&self, model: &ModelId) -> usize {
        self.slots
            .iter()
            .filter(|slot| slot.record.models.contains(model))
            .count()
    }
}

impl From<Range> for Snapshot {
    fn from(range: Range) -> Self {
        let mut snapshot = Self::default();
        for pair in range.pairs {
            if pair.key == GUARD_KEY {
                snapshot.guard_revision = pair.mod_revision;
                continue;
            }
            // A malformed slot still counts towards the limit.
            snapshot.slots.push(Slot {
                record: serde_json::from_slice(&pair.value).unwrap_or_default(),
                create_revision: pair.create_revision,
            });
        }
        snapshot
    }
}

fn acquire_txn(record: &SlotRecord, guard_revision: Revision) -> Txn {
    let key = slot_key(&record.target);
    Txn {
        compares: vec![
            Compare::ModRevision(GUARD_KEY.to_owned(), guard_revision),
            Compare::Absent(key.clone()),
        ],
        success: vec![
            Op::Put(GUARD_KEY.to_owned(), Bytes::new(), None),
            Op::Put(key, record.encode(), Some(record.lease)),
        ],
        failure: Vec::new(),
    }
}

fn free_txn(slot: &Slot) -> Txn {
    let key = slot_key(&slot.record.target);
    Txn {
        compares: vec![Compare::CreateRevision(key.clone(), slot.create_revision)],
        success: vec![Op::Delete(key)],
        ..Txn::default()
    }
}

fn slot_key(target: &TargetId) -> String {
    format!("{SLOT_PREFIX}{target}")
}
