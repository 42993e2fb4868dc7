//! Brings the targets' weights to the wanted versions, while this instance holds the right to.

mod replacing;
mod right;

use {
    crate::{
        LoadingRecord, Platform,
        item::LOADING_KEY,
        rollout::{self, Loadable, SetAside},
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

/// How often it is looked for work besides when something changed.
const PERIOD: Duration = Duration::from_millis(500);
/// Longest wait for the announcement of targets that load; without it they refuse calls themselves.
const ANNOUNCE_TIME: Duration = Duration::from_millis(200);

/// Gives orders until `token` is cancelled, then lets go of the right.
pub(crate) async fn give<Kv, Format>(
    shared: Arc<Shared<Kv, Format>>,
    client: Client,
    token: CancellationToken,
) -> ChildResult
where
    Kv: KeyValue,
    Format: Platform,
{
    let orders = Orders { shared, client };
    let mut holding = None;
    let mut under_way = FuturesUnordered::new();
    let mut ordered = HashSet::new();
    let mut aside = SetAside::default();
    let mut announced = LoadingRecord::default();
    let mut pause = PERIOD;
    loop {
        let changed = orders.shared.changed.notified();
        tokio::select! {
            () = token.cancelled() => break,
            () = orders.shared.draining.cancelled() => break,
            Some((target, outcome)) = under_way.next() => {
                ordered.remove(&target);
                aside.note(&target, outcome, boot_time());
            }
            () = changed => {}
            () = sleep(pause) => {}
        }
        pause = PERIOD;
        holding = orders.hold(holding).await;
        let Some(held) = holding else {
            continue;
        };
        let wait = held.wait(boot_time());
        if !wait.is_zero() {
            pause = wait.min(PERIOD);
            continue;
        }
        orders.forget_gone(&mut aside);
        let planned = orders.plan(&ordered, &aside);
        ordered.extend(planned.iter().map(|(target, ..)| target.id.clone()));
        orders.announce(&mut announced, &ordered).await;
        for (target, loadable, wanted) in planned {
            under_way.push(orders.replace(held, target, loadable, wanted));
        }
    }
    drop(under_way);
    if let Some(held) = holding {
        orders.let_go(held).await;
    }
    Ok(())
}

/// Gives orders for as long as the right to is held.
struct Orders<Kv, Format> {
    shared: Arc<Shared<Kv, Format>>,
    client: Client,
}

impl<Kv, Format> Orders<Kv, Format>
where
    Kv: KeyValue,
    Format: Platform,
{
    /// Tells all instances which targets take no calls while they load, and which have loaded.
    async fn announce(&self, announced: &mut LoadingRecord, ordered: &HashSet<TargetId>) {
        let Some(record) = self.loading(ordered) else {
            return;
        };
        if record == *announced {
            return;
        }
        let (Some(tenure), Ok(value)) = (self.shared.tenure(), serde_json::to_vec(&record)) else {
            return;
        };
        let put = Op::Put(LOADING_KEY.to_owned(), value.into(), Some(tenure.lease));
        let write = Txn {
            success: vec![put],
            ..Txn::default()
        };
        match timeout(ANNOUNCE_TIME, self.shared.kv.txn(write)).await {
            Ok(Ok(_)) => *announced = record,
            Ok(Err(error)) => log::info!("targets that load are not announced: {error}"),
            Err(_) => log::info!("targets that load are not announced in time"),
        }
    }

    /// What is to be announced; nothing if no weights are wanted.
    fn loading(&self, ordered: &HashSet<TargetId>) -> Option<LoadingRecord> {
        let known = self.shared.known();
        let (model, wanted) = known
            .wanted()
            .iter()
            .max_by_key(|(_, wanted)| wanted.newest_version())?;
        let version = wanted.newest_version();
        let has_it = |target: &&Arc<TargetState>| target.version(model) >= Some(version);
        let mut loading: Vec<TargetId> = ordered.iter().cloned().collect();
        loading.sort();
        Some(LoadingRecord {
            model: model.clone(),
            version,
            loading,
            loaded: known
                .targets()
                .filter(has_it)
                .map(|target| target.id.clone())
                .collect(),
        })
    }

    /// Forgets fruitless tries at targets that are gone.
    fn forget_gone(&self, aside: &mut SetAside) {
        let known = self.shared.known();
        let ids: HashSet<&TargetId> = known.targets().map(|target| &target.id).collect();
        aside.retain(|target| ids.contains(target));
    }

    /// Targets to order now.
    fn plan(
        &self,
        ordered: &HashSet<TargetId>,
        aside: &SetAside,
    ) -> Vec<(Arc<TargetState>, Loadable, u64)> {
        let now = boot_time();
        let known = self.shared.known();
        let view = known.view(now);
        let mut planned = Vec::new();
        for (model, wanted) in &view.wanted_versions {
            for targets in view.pools.values() {
                let of_model = targets.iter().filter(|target| !target.draining);
                let pool: Vec<Loadable> = of_model
                    .filter_map(|target| {
                        Some(Loadable {
                            target: target.id.clone(),
                            model: model.clone(),
                            version: target.version(model)?,
                            in_flight_count: target.call_stats.in_flight_count(),
                            ordered: ordered.contains(&target.id),
                            rests: aside.rests(&target.id, now),
                            fruitless_count: aside.fruitless_count(&target.id),
                        })
                    })
                    .collect();
                for loadable in rollout::next(&pool, wanted.newest_version()) {
                    let target = targets.iter().find(|target| target.id == loadable.target);
                    let target =
                        target.map(|it| (it.clone(), loadable.clone(), wanted.newest_version()));
                    planned.extend(target);
                }
            }
        }
        planned
    }
}
