//! Operators that read and change the configuration.

use {
    super::{
        NAMES,
        naive::apply_blindly,
        put, put_value,
        spec::{Ended, Operation},
        values,
        world::{Way, World, lock},
    },
    catalog::{ObjectKind, Revision},
    configuration::{ApplyError, Snapshot, Writer},
    keyvalue::MemoryKv,
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::time::sleep,
};

const CHANGES_COUNT: usize = 16;
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Times that a change is asked for with the same id while its end is unknown.
const TRIES_COUNT: usize = 2;

impl World {
    /// One operator reads and changes.
    pub(super) async fn operate(self: Arc<Self>, number: usize, kv: MemoryKv, seed: u64) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        for turn in 0..CHANGES_COUNT {
            sleep(Duration::from_millis(rng.random_range(0..500))).await;
            let Some(snapshot) = self.read(&kv).await else {
                continue;
            };
            sleep(Duration::from_millis(rng.random_range(0..300))).await;
            let both = values(&snapshot.catalog);
            let chosen = rng.random_range(1..4);
            let is_chosen = |index: &usize| chosen >> index & 1 == 1;
            let expected = [0, 1].map(|index| is_chosen(&index).then_some(both[index]));
            let new = [0, 1].map(|index| {
                is_chosen(&index).then(|| self.next_value.fetch_add(1, Ordering::Relaxed))
            });
            let change_id = format!("operator-{number}-{turn}");
            self.change(&kv, &snapshot, expected, new, &change_id).await;
        }
    }

    pub(super) async fn read(&self, kv: &MemoryKv) -> Option<Snapshot> {
        let writer = Writer::new(kv.clone(), CALL_TIMEOUT);
        let id = lock(&self.journal).call();
        let snapshot = writer.read().await.ok()?;
        let operation = Operation::Read(Some(values(&snapshot.catalog)));
        lock(&self.journal).answer(id, operation);
        Some(snapshot)
    }

    pub(super) async fn change(
        &self,
        kv: &MemoryKv,
        snapshot: &Snapshot,
        expected: [Option<i32>; 2],
        new: [Option<i32>; 2],
        change_id: &str,
    ) {
        let id = lock(&self.journal).call();
        let kind = ObjectKind::PlacementRule;
        let revisions =
            [0, 1].map(|index| new[index].map(|_| snapshot.revision_of(kind, NAMES[index])));
        let ended = match self.way {
            Way::BlindWriter => Some(apply_blindly(kv, revisions, new).await),
            _ => apply(kv, revisions, new, change_id).await,
        };
        let mut journal = lock(&self.journal);
        match ended {
            Some(_) => journal.answer(
                id,
                Operation::Change {
                    expected,
                    new,
                    ended,
                },
            ),
            None => journal.unknown(id, expected, new),
        }
    }
}

/// Applies a change, repeating it with the same id while its end is unknown.
async fn apply(
    kv: &MemoryKv,
    revisions: [Option<Revision>; 2],
    new: [Option<i32>; 2],
    change_id: &str,
) -> Option<Ended> {
    let writer = Writer::new(kv.clone(), CALL_TIMEOUT);
    let changes: Vec<_> = [0, 1]
        .into_iter()
        .filter_map(|index| Some(put(put_value(index, new[index]?), revisions[index]?)))
        .collect();
    let mut may_be_applied = false;
    for _ in 0..TRIES_COUNT {
        match writer.apply(&changes, change_id).await {
            Ok(_) => return Some(Ended::Applied),
            Err(ApplyError::Conflict { .. }) => return Some(Ended::Conflict),
            Err(ApplyError::Abandoned { .. }) => return Some(Ended::Nothing),
            Err(ApplyError::NotApplied { .. }) if !may_be_applied => return Some(Ended::Nothing),
            Err(ApplyError::NotApplied { .. }) => {}
            Err(ApplyError::Unknown { .. }) => may_be_applied = true,
            Err(error) => panic!("{error}"),
        }
        sleep(Duration::from_millis(700)).await;
    }
    None
}
