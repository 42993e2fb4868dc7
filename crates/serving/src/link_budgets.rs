//! Admits transfers over the links of stores.

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

/// Number of times an export asks for link capacity before it is skipped.
const MAX_EXPORT_TRIES_COUNT: u32 = 40;
/// Pause between two tries of an export.
const EXPORT_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Tracks the capacity in use on the links of stores. Imports always go ahead, since callers wait
/// for them; exports wait until they fit beside the transfers in progress. Clones share the
/// budgets.
#[derive(Clone, Debug, Default)]
pub(crate) struct LinkBudgets {
    budgets: Arc<Mutex<HashMap<TargetId, LinkBudget>>>,
}

/// The share of a link that one transfer uses. Dropping it frees that share.
#[derive(Debug)]
pub(crate) struct TransferPermit {
    link_budgets: LinkBudgets,
    store: TargetId,
    transfer_rate: TransferRate,
}

impl LinkBudgets {
    /// Reserves link capacity for an import. Returns none if the link is full; the import then goes
    /// ahead without a reservation.
    pub(crate) fn admit_import(&self, store: &Target, rate: LinkRate) -> Option<TransferPermit> {
        self.try_admit(store, rate)
    }

    /// Waits for link capacity for an export. Returns none if the link stays full for all tries.
    pub(crate) async fn admit_export(
        &self,
        store: &Target,
        rate: LinkRate,
    ) -> Option<TransferPermit> {
        for _ in 0..MAX_EXPORT_TRIES_COUNT {
            if let Some(transfer) = self.try_admit(store, rate) {
                return Some(transfer);
            }
            sleep(EXPORT_RETRY_INTERVAL).await;
        }
        None
    }

    #[allow(clippy::cast_precision_loss)]
    fn try_admit(&self, store: &Target, rate: LinkRate) -> Option<TransferPermit> {
        let transfer_rate = TransferRate {
            mean_bytes_per_s: rate.mean_bytes_per_s,
            deviation_bytes_per_s: rate.variance.sqrt(),
        };
        let capacity_bytes_per_s = store.link_bytes_per_s as f64;
        let mut budgets = self.lock();
        let budget = budgets
            .entry(store.name.clone())
            .or_insert_with(|| LinkBudget::new(capacity_bytes_per_s, HeadroomRule::default()));
        budget.capacity_bytes_per_s = capacity_bytes_per_s;
        budget.try_admit(transfer_rate).then(|| TransferPermit {
            link_budgets: self.clone(),
            store: store.name.clone(),
            transfer_rate,
        })
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<TargetId, LinkBudget>> {
        self.budgets.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for TransferPermit {
    fn drop(&mut self) {
        if let Some(budget) = self.link_budgets.lock().get_mut(&self.store) {
            budget.release(self.transfer_rate);
        }
    }
}
