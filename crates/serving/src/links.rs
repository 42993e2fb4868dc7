//! Room on the links of stores.

use {
    admission::{HeadroomRule, LinkBudget, TransferRate},
    catalog::{Target, TargetId},
    fleet::LinkRate,
    std::{
        collections::HashMap,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::time::sleep,
};

/// Times an export asks for room before it is put off.
const EXPORT_TRIES_COUNT: u32 = 40;
/// Pause between two tries.
const EXPORT_PAUSE: Duration = Duration::from_millis(100);

/// Room on the links of stores. Imports, which callers wait for, always get in; exports wait until
/// they fit beside what is under way. Clones share it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Links {
    budgets: Arc<Mutex<HashMap<TargetId, LinkBudget>>>,
}

/// A transfer under way, until dropped.
#[derive(Debug)]
pub(crate) struct Transfer {
    links: Links,
    store: TargetId,
    flow: TransferRate,
}

impl Links {
    /// Counts an import over a store's link.
    pub(crate) fn import(&self, store: &Target, rate: LinkRate) -> Option<Transfer> {
        self.try_begin(store, rate)
    }

    /// Waits for room for an export over a store's link; none if there is none for long.
    pub(crate) async fn export(&self, store: &Target, rate: LinkRate) -> Option<Transfer> {
        for _ in 0..EXPORT_TRIES_COUNT {
            if let Some(transfer) = self.try_begin(store, rate) {
                return Some(transfer);
            }
            sleep(EXPORT_PAUSE).await;
        }
        None
    }

    #[allow(clippy::cast_precision_loss)]
    fn try_begin(&self, store: &Target, rate: LinkRate) -> Option<Transfer> {
        let flow = TransferRate {
            mean_bytes_per_s: rate.mean_bytes_per_s,
            deviation_bytes_per_s: rate.variance.sqrt(),
        };
        let capacity_bytes_per_s = store.link_bytes_per_s as f64;
        let mut budgets = self.lock();
        let budget = budgets
            .entry(store.name.clone())
            .or_insert_with(|| LinkBudget::new(capacity_bytes_per_s, HeadroomRule::default()));
        budget.capacity_bytes_per_s = capacity_bytes_per_s;
        budget.try_admit(flow).then(|| Transfer {
            links: self.clone(),
            store: store.name.clone(),
            flow,
        })
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<TargetId, LinkBudget>> {
        self.budgets.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Transfer {
    fn drop(&mut self) {
        if let Some(budget) = self.links.lock().get_mut(&self.store) {
            budget.release(self.flow);
        }
    }
}
