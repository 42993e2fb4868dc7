//! The answer to a read of a feed as builds without merged feeds know it.

use {
    crate::Batch,
    balance::TargetLoad,
    parts::{Change, LinkUse, Position},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// A [`Batch`] as builds without merged feeds read and send it. Its fields must not change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct FormerBatch {
    position: Position,
    clock: Option<Duration>,
    /// Rendezvous seed of each target, and the number of calls there.
    loads: Vec<(u64, u32)>,
    link_use: Vec<LinkUse>,
    changes: Vec<Change>,
}

impl From<Batch> for FormerBatch {
    fn from(batch: Batch) -> Self {
        let loads = batch.loads.iter();
        Self {
            position: batch.position,
            clock: batch.clock,
            loads: loads.map(|it| (it.target_seed, it.calls_count)).collect(),
            link_use: batch.link_use,
            changes: batch.changes,
        }
    }
}

impl From<FormerBatch> for Batch {
    fn from(batch: FormerBatch) -> Self {
        let loads = batch.loads.into_iter();
        let loads = loads.map(|(target_seed, calls_count)| TargetLoad {
            target_seed,
            calls_count,
            tokens_count: 0,
            unread_tokens_count: 0,
        });
        Self {
            position: batch.position,
            clock: batch.clock,
            loads: loads.collect(),
            link_use: batch.link_use,
            changes: batch.changes,
            is_reset: false,
            followed_places: Vec::new(),
        }
    }
}
