//! Deliberately incorrect implementations, whose faults the checks must detect.

use {
    super::{put_value, spec::Ended},
    catalog::Revision,
    configuration::{CONFIG_PREFIX, Snapshot, object_key},
    keyvalue::{KeyValue, KvError, MemoryKv, Op, Txn},
    std::{
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::time::sleep,
};

/// Writes without compare-and-swap, one object after the other, and treats a lost answer as a call
/// that had no effect.
pub async fn apply_without_compare(
    kv: &MemoryKv,
    expected: [Option<Revision>; 2],
    new: [Option<i32>; 2],
) -> Ended {
    match write_without_condition(kv, expected, new).await {
        Ok(ended) => ended,
        Err(_) => Ended::Nothing,
    }
}

/// Compares the revisions in a separate read before the writes, which have no condition.
async fn write_without_condition(
    kv: &MemoryKv,
    expected: [Option<Revision>; 2],
    new: [Option<i32>; 2],
) -> Result<Ended, KvError> {
    let snapshot = Snapshot::from_range(&kv.range(CONFIG_PREFIX).await?);
    for (index, expected) in expected.into_iter().enumerate() {
        let name = super::NAMES[index];
        let current = snapshot.revision_of(catalog::ObjectKind::PlacementRule, name);
        if expected.is_some_and(|expected| expected != current) {
            return Ok(Ended::Conflict);
        }
    }
    for (index, value) in new.into_iter().enumerate() {
        let Some(value) = value else { continue };
        let object = put_value(index, value);
        let key = object_key(object.kind(), object.name());
        let txn = Txn {
            success: vec![Op::Put(key, object.to_json().into(), None)],
            ..Txn::default()
        };
        kv.txn(txn).await?;
    }
    Ok(Ended::Applied)
}

/// Publishes the latest arrival from the service or a peer, even if its revision is lower.
#[derive(Clone, Debug, Default)]
pub struct LastArrived {
    current: Arc<Mutex<Snapshot>>,
}

impl LastArrived {
    /// Reads the configuration from the service every 500 ms.
    pub async fn run(self, kv: MemoryKv) {
        loop {
            if let Ok(range) = kv.range(CONFIG_PREFIX).await {
                self.offer(Snapshot::from_range(&range));
            }
            sleep(Duration::from_millis(500)).await;
        }
    }

    pub fn offer(&self, snapshot: Snapshot) {
        *self.current.lock().expect("lock") = snapshot;
    }

    pub fn snapshot(&self) -> Snapshot {
        self.current.lock().expect("lock").clone()
    }
}
