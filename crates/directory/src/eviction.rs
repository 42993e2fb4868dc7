//! Selects the copies to evict from a store that is nearly full.

use {
    crate::{
        CopyState, Directory, StoreCopy,
        block::{Block, CopyEntry},
        interner::NameId,
    },
    catalog::{ClientAccountId, TargetId},
    prefix::BlockKey,
    std::{collections::HashMap, time::Duration},
};

/// Copies with fewer decayed uses are evicted first, whichever client account they belong to.
const MIN_DECAYED_USES_COUNT: f32 = 0.02;

/// A copy to evict, with its owner and value.
#[derive(Clone, Debug, PartialEq)]
pub struct Victim {
    /// The copy, to be passed to [`Directory::free_copy`].
    pub copy: StoreCopy,
    /// Client account that the copy belongs to, if known.
    pub client_account: Option<ClientAccountId>,
    /// Expected compute time in seconds that the copy saves per second of keeping it and per
    /// mebibyte.
    pub saved_s_per_s_mebibyte: f64,
}

pub(crate) const BYTES_PER_MEBIBYTE: f64 = 1_048_576.0;

/// A copy that may be evicted.
struct Candidate<'a> {
    key: &'a BlockKey,
    block: &'a Block,
    entry: &'a CopyEntry,
    value: f32,
}

/// Copies of one client account in the store, sorted so that the next one to evict is last.
struct AccountQueue<'a> {
    account: Option<NameId>,
    candidates: Vec<Candidate<'a>>,
    used_bytes: u64,
    weight: u32,
}

impl Directory {
    /// Selects committed copies to evict from `store` so that at least `wanted_bytes` become free.
    ///
    /// Copies that have not been used for a long time come first. Then the client account that
    /// uses the most bytes in proportion to its weight loses its least valuable copy, and so on.
    /// An account that stays within its share therefore loses nothing to one that exceeds it. The
    /// value of a copy is the compute time that it is expected to save per byte. The last blocks
    /// of a prompt are evicted before the first ones.
    #[must_use]
    pub fn victims<Weight>(
        &self,
        store: &TargetId,
        wanted_bytes: u64,
        weight: Weight,
        now: Duration,
    ) -> Vec<Victim>
    where
        Weight: Fn(&ClientAccountId) -> u32,
    {
        let Some(store) = self.targets.find(store) else {
            return Vec::new();
        };
        let mut queues = self.account_queues(store, weight, now);
        let mut victims = Vec::new();
        let mut freed_bytes = 0;
        while freed_bytes < wanted_bytes {
            let Some(queue) = next_queue(&mut queues) else {
                break;
            };
            let Some(candidate) = queue.candidates.pop() else {
                break;
            };
            let size_bytes = u64::from(candidate.block.size_bytes);
            queue.used_bytes = queue.used_bytes.saturating_sub(size_bytes);
            freed_bytes += size_bytes;
            let account = queue.account;
            victims.push(self.victim(&candidate, account));
        }
        victims
    }

    fn account_queues<Weight>(
        &self,
        store: NameId,
        weight: Weight,
        now: Duration,
    ) -> Vec<AccountQueue<'_>>
    where
        Weight: Fn(&ClientAccountId) -> u32,
    {
        let mut queues: HashMap<Option<NameId>, AccountQueue<'_>> = HashMap::new();
        for (key, block) in &self.blocks {
            let Some(entry) = block.copy(store) else {
                continue;
            };
            if entry.state != CopyState::Committed {
                continue;
            }
            let account = block.account;
            let queue = queues.entry(account).or_insert_with(|| AccountQueue {
                account,
                candidates: Vec::new(),
                used_bytes: 0,
                weight: account.map_or(1, |account| weight(self.accounts.name(account)).max(1)),
            });
            queue.used_bytes += u64::from(block.size_bytes);
            queue.candidates.push(Candidate {
                key,
                block,
                entry,
                value: self.retention_value(block, now),
            });
        }
        let mut queues: Vec<AccountQueue<'_>> = queues.into_values().collect();
        for queue in &mut queues {
            queue.candidates.sort_unstable_by(|left, right| {
                let by_value = right.value.total_cmp(&left.value);
                by_value
                    .then_with(|| left.block.depth.cmp(&right.block.depth))
                    .then_with(|| left.key.cmp(right.key))
            });
        }
        queues.sort_by_key(|queue| queue.account);
        queues
    }

    fn victim(&self, candidate: &Candidate<'_>, account: Option<NameId>) -> Victim {
        Victim {
            copy: StoreCopy {
                key: *candidate.key,
                target: self.targets.name(candidate.entry.target).clone(),
                generation: candidate.entry.generation,
                size_bytes: u64::from(candidate.block.size_bytes),
            },
            client_account: account.map(|account| self.accounts.name(account).clone()),
            saved_s_per_s_mebibyte: f64::from(candidate.value) * BYTES_PER_MEBIBYTE,
        }
    }

    /// Expected compute time in seconds that a copy of the block saves per second of keeping it and
    /// per byte; 0 if it has not been used for a long time.
    #[allow(clippy::cast_precision_loss)]
    fn retention_value(&self, block: &Block, now: Duration) -> f32 {
        let decay_time = self.account_reuse_of(block).decay_time();
        if block.reuse.decayed_count(now, decay_time) < MIN_DECAYED_USES_COUNT {
            return 0.0;
        }
        block.reuse.rate_per_s(now, decay_time) * block.recompute_s / block.size_bytes.max(1) as f32
    }
}

/// Selects the account to evict the next copy from: one that has a copy without value, otherwise
/// the one that uses the most bytes in proportion to its weight.
fn next_queue<'queues, 'blocks>(
    queues: &'queues mut [AccountQueue<'blocks>],
) -> Option<&'queues mut AccountQueue<'blocks>> {
    queues
        .iter_mut()
        .filter(|queue| !queue.candidates.is_empty())
        .max_by(|left, right| {
            let by_staleness = has_stale_candidate(left).cmp(&has_stale_candidate(right));
            by_staleness.then_with(|| weighted_bytes(left).total_cmp(&weighted_bytes(right)))
        })
}

fn has_stale_candidate(queue: &AccountQueue<'_>) -> bool {
    queue
        .candidates
        .last()
        .is_some_and(|candidate| candidate.value <= 0.0)
}

#[allow(clippy::cast_precision_loss)]
fn weighted_bytes(queue: &AccountQueue<'_>) -> f64 {
    queue.used_bytes as f64 / f64::from(queue.weight)
}
