//! Orders targets to load the wanted model versions while this instance holds the order lock.

mod lock;
mod replacing;

use {
    crate::{
        LoadingRecord, Platform,
        own_keys::LOADING_KEY,
        rollout::{self, RolloutCandidate, TargetBackoffs},
        shared::Shared,
    },
    catalog::TargetId,
    futures::{StreamExt, stream::FuturesUnordered},
    keyvalue::{KeyValue, Op, Txn},
    relay::{TargetState, boot_time},
    std::{collections::HashSet, sync::Arc, time::Duration},
    supervisor::ChildResult,
    target::Client,
    tokio::time::{sleep, timeout},
    tokio_util::sync::CancellationToken,
};

/// Longest time between two checks for work when nothing changes.
const CHECK_PERIOD: Duration = Duration::from_millis(500);
/// Timeout of announcing the targets that are being updated. Their orders are sent even without the
/// announcement: a target that is ordered to finish its running requests refuses new ones itself.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(200);

/// Sends orders until `token` is cancelled or this instance drains, then releases the order lock.
pub(crate) async fn run<Kv, Format>(
    shared: Arc<Shared<Kv, Format>>,
    client: Client,
    token: CancellationToken,
) -> ChildResult
where
    Kv: KeyValue,
    Format: Platform,
{
    let issuer = OrderIssuer { shared, client };
    let mut held_lock = None;
    let mut in_progress = FuturesUnordered::new();
    let mut ordered = HashSet::new();
    let mut backoffs = TargetBackoffs::default();
    let mut announced = LoadingRecord::default();
    let mut check_delay = CHECK_PERIOD;
    loop {
        let changed = issuer.shared.changed.notified();
        tokio::select! {
            () = token.cancelled() => break,
            () = issuer.shared.draining.cancelled() => break,
            Some((target, outcome)) = in_progress.next() => {
                ordered.remove(&target);
                backoffs.record(&target, outcome, boot_time());
            }
            () = changed => {}
            () = sleep(check_delay) => {}
        }
        check_delay = CHECK_PERIOD;
        held_lock = issuer.hold_lock(held_lock).await;
        let Some(lock) = held_lock else {
            // The record is bound to the lease that the lock was held under.
            announced = LoadingRecord::default();
            continue;
        };
        let wait = lock.time_until_usable(boot_time());
        if !wait.is_zero() {
            check_delay = wait.min(CHECK_PERIOD);
            continue;
        }
        issuer.forget_removed_targets(&mut backoffs);
        let planned = issuer.plan(&ordered, &backoffs);
        ordered.extend(planned.iter().map(|(target, ..)| target.id.clone()));
        issuer.announce(&mut announced, &ordered).await;
        for (target, candidate, wanted_version) in planned {
            in_progress.push(issuer.replace_weights(lock, target, candidate, wanted_version));
        }
    }
    drop(in_progress);
    if let Some(lock) = held_lock {
        issuer.release_lock(lock).await;
    }
    Ok(())
}

/// Sends orders to targets while this instance holds the order lock.
struct OrderIssuer<Kv, Format> {
    shared: Arc<Shared<Kv, Format>>,
    client: Client,
}

impl<Kv, Format> OrderIssuer<Kv, Format>
where
    Kv: KeyValue,
    Format: Platform,
{
    /// Announces to all instances which targets are being updated, so that they prefer others, and
    /// which have loaded the newest weights.
    async fn announce(&self, announced: &mut LoadingRecord, ordered: &HashSet<TargetId>) {
        let Some(record) = self.loading_record(ordered) else {
            return;
        };
        if record == *announced {
            return;
        }
        let (Some(lease), Ok(value)) = (self.shared.lease(), serde_json::to_vec(&record)) else {
            return;
        };
        let put = Op::Put(LOADING_KEY.to_owned(), value.into(), Some(lease.id));
        let write = Txn {
            success: vec![put],
            ..Txn::default()
        };
        match timeout(ANNOUNCE_TIMEOUT, self.shared.kv.txn(write)).await {
            Ok(Ok(_)) => *announced = record,
            Ok(Err(error)) => log::info!("failed to announce loading targets, retrying: {error}"),
            Err(_) => log::info!("announcing loading targets timed out, retrying"),
        }
    }

    /// Builds the record to announce; `None` if no version is wanted. It names only the model with
    /// the highest version number, and `loaded` refers to that one, but `loading` holds the targets
    /// in `ordered` whatever their model.
    fn loading_record(&self, ordered: &HashSet<TargetId>) -> Option<LoadingRecord> {
        let known = self.shared.known();
        let (model, wanted) = known
            .wanted()
            .iter()
            .max_by_key(|(_, wanted)| wanted.newest_version())?;
        let version = wanted.newest_version();
        let has_loaded = |target: &&Arc<TargetState>| target.version(model) >= Some(version);
        let mut loading: Vec<TargetId> = ordered.iter().cloned().collect();
        loading.sort();
        Some(LoadingRecord {
            model: model.clone(),
            version,
            loading,
            loaded: known
                .targets()
                .filter(has_loaded)
                .map(|target| target.id.clone())
                .collect(),
        })
    }

    /// Removes the backoff of targets that are gone.
    fn forget_removed_targets(&self, backoffs: &mut TargetBackoffs) {
        let known = self.shared.known();
        let ids: HashSet<&TargetId> = known.targets().map(|target| &target.id).collect();
        backoffs.retain(|target| ids.contains(target));
    }

    /// Returns the targets to order now, each with its wanted version. Targets in `ordered` are left
    /// out, but a target that lacks new weights of several models may appear once for each.
    fn plan(
        &self,
        ordered: &HashSet<TargetId>,
        backoffs: &TargetBackoffs,
    ) -> Vec<(Arc<TargetState>, RolloutCandidate, u64)> {
        let now = boot_time();
        let known = self.shared.known();
        let view = known.view(now);
        let mut planned = Vec::new();
        for (model, wanted) in &view.wanted_versions {
            for targets in view.pools.values() {
                let active = targets.iter().filter(|target| !target.is_leaving());
                let pool: Vec<RolloutCandidate> = active
                    .filter_map(|target| {
                        Some(RolloutCandidate {
                            target: target.id.clone(),
                            model: model.clone(),
                            version: target.version(model)?,
                            in_flight_count: target.call_stats.in_flight_count(),
                            has_order: ordered.contains(&target.id),
                            is_backing_off: backoffs.is_backing_off(&target.id, now),
                            failures_count: backoffs.failures_count(&target.id),
                        })
                    })
                    .collect();
                for candidate in rollout::next_targets(&pool, wanted.newest_version()) {
                    let target = targets.iter().find(|target| target.id == candidate.target);
                    let target =
                        target.map(|it| (it.clone(), candidate.clone(), wanted.newest_version()));
                    planned.extend(target);
                }
            }
        }
        planned
    }
}
