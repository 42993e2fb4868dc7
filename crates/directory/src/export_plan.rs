//! Plans which blocks of a prompt to export to which stores.

use {
    crate::{
        AccountReuse, CopyState, Directory, PromptBlocks, block::Block,
        eviction::BYTES_PER_MEBIBYTE, rendezvous,
    },
    catalog::{FailureDomainId, TargetId},
    prefix::BlockKey,
    std::time::Duration,
};

/// Upper bound of the estimated probability that a block is used again.
const MAX_REUSE_PROBABILITY: f64 = 0.95;
/// Lower bound of a store's rendezvous weight, so that a nearly full store that still has room can
/// be chosen.
const MIN_STORE_WEIGHT: f64 = 0.01;

/// State of a store that can receive exports.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreState {
    /// The store.
    pub target: TargetId,
    /// Failure domain the store runs in.
    pub failure_domain: FailureDomainId,
    /// Capacity in bytes.
    pub capacity_bytes: u64,
    /// Bytes in use according to the store's last report.
    pub used_bytes: u64,
    /// Bytes that the link budget currently allows.
    pub link_budget_bytes: u64,
}

/// Minimum value of an export, and how many copies of each block to keep.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExportPolicy {
    /// Minimum expected compute time in seconds that a block must save per mebibyte sent over the
    /// link.
    pub min_saved_s_per_mebibyte: f64,
    /// Number of copies of each block, each in a different failure domain.
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
    /// Keys of the blocks, in prompt order.
    pub keys: Vec<BlockKey>,
    /// Bytes to send over the link.
    pub link_bytes: u64,
    /// Expected compute time in seconds that the copies save.
    pub saved_s: f64,
    /// Plans with a higher priority run first: 2 if a block of the plan was reused before, 1
    /// otherwise, and 0 for replicas beyond the first copy.
    pub priority: u8,
}

impl Directory {
    /// Plans the exports of a prompt that an engine has just run. Call [`Directory::record_use`]
    /// for this run first.
    ///
    /// Blocks go to a store that already has the first block of the prompt, otherwise to the store
    /// that rendezvous hashing selects, weighted by free space. Blocks that have enough copies,
    /// that save too little for their size, or that exceed the link budget are left out. Blocks
    /// after a missing one are useless, so a plan ends at the first block that is left out for its
    /// value or for the budget.
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

    /// Probability that the block is used again. A block that was used once has the probability of
    /// its client account; for others it rises with each use and falls with the time since the
    /// last one.
    fn reuse_probability(&self, block: &Block, now: Duration) -> f64 {
        let account_reuse = self.account_reuse_of(block);
        if !block.reuse.is_reused() {
            return account_reuse.reuse_probability();
        }
        let uses = f64::from(block.reuse.decayed_count(now, account_reuse.decay_time()));
        (uses / (uses + 1.0)).min(MAX_REUSE_PROBABILITY)
    }

    /// Reuse statistics of the client account that owns the block.
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
