//! Which blocks are worth a place in a store.

use {
    crate::{
        AccountReuse, CopyState, Directory, PromptBlocks, block::Block,
        eviction::BYTES_PER_MEBIBYTE, rendezvous,
    },
    catalog::{FailureDomainId, TargetId},
    prefix::BlockKey,
    std::time::Duration,
};

/// Highest probability that a block is believed to be asked again.
const MAX_REUSE_PROBABILITY: f64 = 0.95;
/// Least weight of a store that has room.
const MIN_STORE_WEIGHT: f64 = 0.01;

/// A store that may take blocks.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreState {
    /// The store.
    pub target: TargetId,
    /// Failure domain the store runs in.
    pub failure_domain: FailureDomainId,
    /// Capacity in bytes.
    pub capacity_bytes: u64,
    /// Bytes in use as the store last reported.
    pub used_bytes: u64,
    /// Bytes that the link budget lets through now.
    pub link_budget_bytes: u64,
}

/// What an export has to be worth, and how many copies are kept.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExportPolicy {
    /// Least computing time in seconds that one mebibyte over the link is expected to save.
    pub min_saved_s_per_mebibyte: f64,
    /// Copies of each block, each in another failure domain.
    pub replicas_count: usize,
}

impl Default for ExportPolicy {
    fn default() -> Self {
        Self {
            min_saved_s_per_mebibyte: 0.0,
            replicas_count: 1,
        }
    }
}

/// Blocks to export from the engine that ran a prompt to one store.
#[derive(Clone, Debug, PartialEq)]
pub struct ExportPlan {
    /// The store.
    pub store: TargetId,
    /// Blocks, first block of the prompt first.
    pub keys: Vec<BlockKey>,
    /// Bytes over the link.
    pub link_bytes: u64,
    /// Computing time in seconds that the copies are expected to save.
    pub saved_s: f64,
    /// Higher goes sooner: 2 for prompts that have returned before, 1 for the others, 0 for
    /// copies beyond the first.
    pub priority: u8,
}

impl Directory {
    /// Plans the exports of a prompt that an engine has just run. The prompt's own use has to be
    /// recorded first ([`Directory::record_use`]).
    ///
    /// Blocks go to the store that has the start of the prompt already, else to the one that
    /// rendezvous hashing gives, weighed by free space. Blocks that have enough copies, that are
    /// not worth their bytes or that exceed the link budget are left out. A break would make
    /// later blocks useless, so a plan ends at the first block that is left out for its worth or
    /// for the budget.
    #[must_use]
    pub fn plan_exports(
        &self,
        prompt: &PromptBlocks<'_>,
        stores: &[StoreState],
        policy: &ExportPolicy,
        now: Duration,
    ) -> Vec<ExportPlan> {
        let Some(root) = prompt.keys.first() else {
            return Vec::new();
        };
        let mut used_domains: Vec<&FailureDomainId> = Vec::new();
        let mut plans = Vec::new();
        for replica in 0..policy.replicas_count {
            let Some(store) = self.choose_store(root, prompt, stores, &used_domains) else {
                break;
            };
            used_domains.push(&store.failure_domain);
            let plan = self.plan_replica(prompt, store, policy, replica, now);
            if !plan.keys.is_empty() {
                plans.push(plan);
            }
        }
        plans
    }

    fn choose_store<'a>(
        &self,
        root: &BlockKey,
        prompt: &PromptBlocks<'_>,
        stores: &'a [StoreState],
        used_domains: &[&FailureDomainId],
    ) -> Option<&'a StoreState> {
        stores
            .iter()
            .filter(|store| !used_domains.contains(&&store.failure_domain))
            .filter(|store| store.used_bytes + prompt.block_bytes <= store.capacity_bytes)
            .max_by(|left, right| {
                let by_holder = self.has_copy(root, left).cmp(&self.has_copy(root, right));
                by_holder.then_with(|| {
                    let left = rendezvous::score(root, &left.target, free_ratio(left));
                    left.total_cmp(&rendezvous::score(root, &right.target, free_ratio(right)))
                })
            })
    }

    fn has_copy(&self, key: &BlockKey, store: &StoreState) -> bool {
        let Some(index) = self.targets.find(&store.target) else {
            return false;
        };
        self.blocks
            .get(key)
            .and_then(|block| block.copy(index))
            .is_some_and(|entry| matches!(entry.state, CopyState::Writing | CopyState::Committed))
    }

    fn plan_replica(
        &self,
        prompt: &PromptBlocks<'_>,
        store: &StoreState,
        policy: &ExportPolicy,
        replica: usize,
        now: Duration,
    ) -> ExportPlan {
        let free_bytes = store.capacity_bytes.saturating_sub(store.used_bytes);
        let budget_bytes = store.link_budget_bytes.min(free_bytes);
        let mut plan = ExportPlan {
            store: store.target.clone(),
            keys: Vec::new(),
            link_bytes: 0,
            saved_s: 0.0,
            priority: 0,
        };
        for key in prompt.keys {
            let Some(block) = self.blocks.get(key) else {
                break;
            };
            if self.has_copy(key, store) || block.store_copies_count() > replica {
                continue;
            }
            let saved_s = self.reuse_probability(block, now) * f64::from(block.recompute_s);
            let size_bytes = u64::from(block.size_bytes);
            if saved_s < policy.min_saved_s_per_mebibyte * mebibytes(size_bytes)
                || plan.link_bytes + size_bytes > budget_bytes
            {
                break;
            }
            let first_copy_priority = 1 + u8::from(block.reuse.is_reused());
            let priority = if replica == 0 { first_copy_priority } else { 0 };
            plan.priority = plan.priority.max(priority);
            plan.keys.push(*key);
            plan.link_bytes += size_bytes;
            plan.saved_s += saved_s;
        }
        plan
    }

    /// Probability that the block is asked again: that of its account for a block asked once,
    /// rising with each time it has returned and falling with its age.
    fn reuse_probability(&self, block: &Block, now: Duration) -> f64 {
        let account_reuse = self.account_reuse_of(block);
        if !block.reuse.is_reused() {
            return account_reuse.reuse_probability();
        }
        let uses = f64::from(block.reuse.decayed_count(now, account_reuse.decay_time()));
        (uses / (uses + 1.0)).min(MAX_REUSE_PROBABILITY)
    }

    /// Usage of the client account that owns the block.
    pub(crate) fn account_reuse_of(&self, block: &Block) -> AccountReuse {
        block
            .account
            .and_then(|account| self.account_reuse.get(&account).copied())
            .unwrap_or_default()
    }
}

#[allow(clippy::cast_precision_loss)]
fn free_ratio(store: &StoreState) -> f64 {
    let free_bytes = store.capacity_bytes.saturating_sub(store.used_bytes);
    (free_bytes as f64 / store.capacity_bytes.max(1) as f64).max(MIN_STORE_WEIGHT)
}

#[allow(clippy::cast_precision_loss)]
fn mebibytes(size_bytes: u64) -> f64 {
    size_bytes as f64 / BYTES_PER_MEBIBYTE
}
