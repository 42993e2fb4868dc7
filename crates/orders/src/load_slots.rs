//! Slots that bound how many targets of the whole fleet load at once.

use {
    crate::{LoadLimits, PlannedOrder},
    bytes::Bytes,
    catalog::{ModelId, Revision, TargetId},
    keyvalue::{Compare, KeyValue, KvError, LeaseId, Op, Range, Txn},
    serde::{Deserialize, Serialize},
    std::collections::{BTreeMap, BTreeSet},
};

/// Prefix of the keys of all slots.
const SLOT_PREFIX: &str = "/rattan/load/slot/";
/// Changes with each slot that is taken, so that two instances can't take one by the same reading.
const GUARD_KEY: &str = "/rattan/load/guard";
/// Prefix of slots and guard.
const LOAD_PREFIX: &str = "/rattan/load/";

/// Value of a slot's key.
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

/// One slot in use.
#[derive(Clone, Debug)]
struct Slot {
    record: SlotRecord,
    created: Revision,
}

/// Slots in use and the guard's revision, as of one reading.
#[derive(Clone, Debug, Default)]
struct Reading {
    slots: Vec<Slot>,
    guard: Revision,
}

/// Takes and frees slots. A slot's key is bound to its holder's lease, so it lapses with it.
#[derive(Debug)]
pub(crate) struct LoadSlots<Kv> {
    kv: Kv,
    limits: LoadLimits,
}

impl<Kv> LoadSlots<Kv>
where
    Kv: KeyValue,
{
    /// Slots within `limits`.
    pub(crate) fn new(kv: Kv, limits: LoadLimits) -> Self {
        Self { kv, limits }
    }

    /// Takes a slot for one load. False if none is free or another instance was quicker.
    pub(crate) async fn take(
        &self,
        planned: &PlannedOrder,
        lease: LeaseId,
        engine_counts: &BTreeMap<ModelId, usize>,
    ) -> Result<bool, KvError> {
        let reading = self.read().await?;
        if reading.has_own(&planned.target, lease) {
            return Ok(true);
        }
        if !self.is_free(&reading, planned, engine_counts) {
            return Ok(false);
        }
        let record = SlotRecord {
            target: planned.target.clone(),
            models: planned.models.clone(),
            lease,
        };
        let take = take(&record, reading.guard);
        Ok(self.kv.txn(take).await?.succeeded)
    }

    /// Frees the slots under `lease` whose loads don't go on.
    pub(crate) async fn sweep(
        &self,
        lease: LeaseId,
        loading: &BTreeSet<TargetId>,
    ) -> Result<(), KvError> {
        let reading = self.read().await?;
        let ended = reading
            .slots
            .iter()
            .filter(|slot| slot.record.lease == lease && !loading.contains(&slot.record.target));
        for slot in ended {
            self.kv.txn(free(slot)).await?;
        }
        Ok(())
    }

    async fn read(&self) -> Result<Reading, KvError> {
        Ok(Reading::from(self.kv.range(LOAD_PREFIX).await?))
    }

    fn is_free(
        &self,
        reading: &Reading,
        planned: &PlannedOrder,
        engine_counts: &BTreeMap<ModelId, usize>,
    ) -> bool {
        if reading.slots.len() >= self.limits.max_load_count {
            return false;
        }
        planned.models.iter().all(|model| {
            let engine_count = engine_counts.get(model).copied().unwrap_or(0);
            reading.loading_count(model) < self.limits.max_model_load_count(engine_count)
        })
    }
}

impl Reading {
    fn has_own(&self, target: &TargetId, lease: LeaseId) -> bool {
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

impl From<Range> for Reading {
    fn from(range: Range) -> Self {
        let mut reading = Self::default();
        for pair in range.pairs {
            if pair.key == GUARD_KEY {
                reading.guard = pair.mod_revision;
                continue;
            }
            // A slot that can't be understood still counts.
            reading.slots.push(Slot {
                record: serde_json::from_slice(&pair.value).unwrap_or_default(),
                created: pair.create_revision,
            });
        }
        reading
    }
}

fn take(record: &SlotRecord, guard: Revision) -> Txn {
    let key = slot_key(&record.target);
    Txn {
        compares: vec![
            Compare::ModRevision(GUARD_KEY.to_owned(), guard),
            Compare::Absent(key.clone()),
        ],
        success: vec![
            Op::Put(GUARD_KEY.to_owned(), Bytes::new(), None),
            Op::Put(key, record.encode(), Some(record.lease)),
        ],
        failure: Vec::new(),
    }
}

fn free(slot: &Slot) -> Txn {
    let key = slot_key(&slot.record.target);
    Txn {
        compares: vec![Compare::CreateRevision(key.clone(), slot.created)],
        success: vec![Op::Delete(key)],
        ..Txn::default()
    }
}

fn slot_key(target: &TargetId) -> String {
    format!("{SLOT_PREFIX}{target}")
}
