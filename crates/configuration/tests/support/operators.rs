//! Simulated operators that read and change the configuration.

use {
    super::{
        NAMES,
        incorrect::apply_without_compare,
        put, put_value,
        simulation::{Implementation, Simulation, lock},
        spec::{Ended, Operation},
        values,
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

/// Changes that each operator makes.
const CHANGES_COUNT: usize = 16;
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of requests with the same change id while the outcome is unknown.
const ATTEMPTS_COUNT: usize = 2;

impl Simulation {
    /// Reads the configuration and changes one or both values, [`CHANGES_COUNT`] times.
    pub(super) async fn run_operator(self: Arc<Self>, number: usize, kv: MemoryKv, seed: u64) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        for turn in 0..CHANGES_COUNT {
            sleep(Duration::from_millis(rng.random_range(0..500))).await;
            let Some(snapshot) = self.read(&kv).await else {
                continue;
            };
            sleep(Duration::from_millis(rng.random_range(0..300))).await;
            let current_values = values(&snapshot.catalog);
            let mask = rng.random_range(1..4);
            let is_chosen = |index: &usize| mask >> index & 1 == 1;
            let expected = [0, 1].map(|index| is_chosen(&index).then_some(current_values[index]));
            let new = [0, 1].map(|index| {
                is_chosen(&index).then(|| self.next_value.fetch_add(1, Ordering::Relaxed))
            });
            let change_id = format!("operator-{number}-{turn}");
            self.change(&kv, &snapshot, expected, new, &change_id).await;
        }
    }

    pub(super) async fn read(&self, kv: &MemoryKv) -> Option<Snapshot> {
        let writer = Writer::new(kv.clone(), CALL_TIMEOUT);
        let id = lock(&self.journal).record_call();
        let snapshot = writer.read().await.ok()?;
        let operation = Operation::Read(Some(values(&snapshot.catalog)));
        lock(&self.journal).record_answer(id, operation);
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
        let id = lock(&self.journal).record_call();
        let kind = ObjectKind::PlacementRule;
        let revisions =
            [0, 1].map(|index| new[index].map(|_| snapshot.revision_of(kind, NAMES[index])));
        let ended = match self.implementation {
            Implementation::BlindWriter => Some(apply_without_compare(kv, revisions, new).await),
            _ => apply(kv, revisions, new, change_id).await,
        };
        let mut journal = lock(&self.journal);
        match ended {
            Some(_) => journal.record_answer(
                id,
                Operation::Change {
                    expected,
                    new,
                    ended,
                },
            ),
            None => journal.record_unknown(id, expected, new),
        }
    }
}

/// Applies a change, repeating it with the same id while its outcome is unknown. Returns `None` if
/// it stays unknown.
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
    for _ in 0..ATTEMPTS_COUNT {
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
