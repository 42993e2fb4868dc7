//! What the cold targets of a pool bear, and among whom it is divided.

use {
    crate::{TargetState, View},
    balance::{ColdAllowance, ColdBound},
    std::time::Duration,
};

/// What each cold target of a pool bears, and the instances among which that is divided. Times are by
/// [`crate::boot_time`].
#[derive(Clone, Copy, Debug)]
pub struct ColdPool<'view> {
    calls_per_s: f64,
    allowance: ColdAllowance,
    pub(crate) own_seed: u64,
    pub(crate) instance_seeds: &'view [u64],
    pub(crate) instances_since: Duration,
    pub(crate) confirmed_at: Duration,
}

impl<'view> ColdPool<'view> {
    /// The pool by `view`, for the instance `own_seed`; `None` if the pool states no rate.
    #[must_use]
    pub fn new(
        view: &'view View,
        pool: &str,
        allowance: ColdAllowance,
        own_seed: u64,
    ) -> Option<Self> {
        let config = view.route_table.as_ref()?.config();
        Some(Self {
            calls_per_s: config.pools.get(pool)?.cold_calls_per_s?,
            allowance,
            own_seed,
            instance_seeds: &view.instance_seeds,
            instances_since: view.instances_since,
            confirmed_at: view.confirmed_at,
        })
    }

    /// Whether `target` is or may be cold at `now`.
    #[must_use]
    pub fn is_cold(&self, target: &TargetState, now: Duration) -> bool {
        target.call_stats.is_cold(self, now)
    }

    /// Takes the right to send a call to `target`. Returns false if the target is cold and this
    /// instance may send it none now.
    #[must_use]
    pub fn try_take(&self, target: &TargetState, now: Duration) -> bool {
        target.call_stats.try_take_cold(self, target.seed, now)
    }

    /// Adapts this instance's share of what `target` bears to the instances that are ready.
    pub fn update_share(&self, target: &TargetState, now: Duration) {
        target.call_stats.update_cold_share(self, target.seed, now);
    }

    /// What a cold target bears.
    pub(crate) fn bound(&self, target_seed: u64) -> ColdBound {
        self.allowance.bound(target_seed, self.calls_per_s)
    }
}

/// Keeps the shares of the instance `own_seed` at all targets up to date. To be called at each change
/// of the view, so that no share begins only when its target becomes cold.
pub fn update_cold_shares(view: &View, allowance: ColdAllowance, own_seed: u64, now: Duration) {
    for (pool, targets) in &view.pools {
        let Some(pool) = ColdPool::new(view, pool, allowance, own_seed) else {
            continue;
        };
        for target in targets {
            pool.update_share(target, now);
        }
    }
}
