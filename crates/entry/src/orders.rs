//! Brings the targets' weights to the wanted versions, while this instance holds the right to.

use {
    crate::{
        HolderRecord, Holding, Item, LoadingRecord, OrderOutcome, Platform, RunsMeanwhile,
        TargetReport, Tenure, VersionOrder,
        item::{HOLDER_KEY, LOADING_KEY},
        rollout::{self, Loadable},
        shared::Shared,
    },
    catalog::{Revision, TargetId},
    eventlog::Event,
    futures::{StreamExt, stream::FuturesUnordered},
    keyvalue::{Compare, KeyValue, Op, Txn},
    relay::{TargetState, Wanted, boot_time},
    std::{collections::HashSet, sync::Arc, time::Duration},
    supervisor::ChildResult,
    target::{Client, Reuse, SendError},
    tokio::time::{sleep, timeout},
    tokio_util::sync::CancellationToken,
};

/// How often it is looked for work besides when something changed.
const PERIOD: Duration = Duration::from_millis(500);
/// Longest time until an order has arrived at its target.
const ARRIVAL_MARGIN: Duration = Duration::from_millis(500);
/// Added to the least time between the orders of two holders.
const GAP_MARGIN: Duration = Duration::from_millis(100);
/// Longest time for a target's report or its answer to an order.
const ANSWER_TIME: Duration = Duration::from_secs(1);
/// How often a target is looked at while it carries out an order.
const LOADING_PERIOD: Duration = Duration::from_millis(250);
/// How often it is looked whether a target's runs have ended.
const DRAIN_PERIOD: Duration = Duration::from_millis(250);
/// Looks after which the runs that are left go on with the new weights: a whole pool has to be
/// replaced within its bound, and the longest runs take seconds.
const DRAIN_ROUNDS_COUNT: u32 = 2;
/// Longest time that an order is waited for before the target is asked again.
const LOADING_TIME: Duration = Duration::from_secs(3);
/// Longest wait for the announcement of targets that load; without it they refuse calls themselves.
const ANNOUNCE_TIME: Duration = Duration::from_millis(200);
/// Wait before the right is taken, for each instance before this one in the order of names.
const TAKING_PAUSE: Duration = Duration::from_millis(60);

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
    let mut announced = LoadingRecord::default();
    let mut pause = PERIOD;
    loop {
        let changed = orders.shared.changed.notified();
        tokio::select! {
            () = token.cancelled() => break,
            () = orders.shared.draining.cancelled() => break,
            Some(target) = under_way.next() => drop(ordered.remove(&target)),
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
        let planned = orders.plan(&ordered);
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

struct Orders<Kv, Format> {
    shared: Arc<Shared<Kv, Format>>,
    client: Client,
}

impl<Kv, Format> Orders<Kv, Format>
where
    Kv: KeyValue,
    Format: Platform,
{
    /// The right to give orders, taken if nobody has it.
    async fn hold(&self, holding: Option<Holding>) -> Option<Holding> {
        let tenure = self.shared.tenure()?;
        let own = &self.shared.settings.instance;
        let holder = self.shared.known().holder().cloned();
        if let Some(holder) = holder {
            let is_own = holder.record.instance == *own && holder.record.lease == tenure.lease;
            if !is_own {
                self.lost(holding, "another instance or an earlier lease holds it");
                return None;
            }
            let kept = holding.filter(|held| held.fencing == holder.fencing);
            // Without one it was taken by a call whose answer was lost.
            return Some(kept.unwrap_or_else(|| self.begin(&tenure, holder.fencing)));
        }
        self.lost(holding, "its key is gone");
        if !self.shared.is_ready() {
            return None;
        }
        self.take().await
    }

    async fn take(&self) -> Option<Holding> {
        sleep(TAKING_PAUSE * self.rank()).await;
        if self.shared.known().holder().is_some() {
            return None;
        }
        let tenure = self.shared.tenure()?;
        let record = HolderRecord {
            instance: self.shared.settings.instance.clone(),
            lease: tenure.lease,
        };
        let value = serde_json::to_vec(&record).ok()?;
        let take = Txn {
            compares: vec![Compare::Absent(HOLDER_KEY.to_owned())],
            success: vec![Op::Put(
                HOLDER_KEY.to_owned(),
                value.into(),
                Some(tenure.lease),
            )],
            ..Txn::default()
        };
        match self.shared.kv.txn(take).await {
            Ok(outcome) if outcome.succeeded => {
                let holder = Item::Holder(record);
                let mut known = self.shared.known();
                known.put("", holder, outcome.revision, boot_time());
                drop(known);
                Some(self.begin(&tenure, outcome.revision))
            }
            Ok(_) => None,
            Err(error) => {
                log::info!("right to give orders not taken: {error}");
                None
            }
        }
    }

    /// The right, taken now.
    fn begin(&self, tenure: &Tenure, fencing: Revision) -> Holding {
        let gap = self.shared.settings.order_gap + GAP_MARGIN;
        self.say_holder(true, fencing, "nobody held it");
        Holding::new(tenure, fencing, boot_time(), gap)
    }

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
            .max_by_key(|(_, wanted)| wanted.version())?;
        let version = wanted.version();
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

    fn lost(&self, holding: Option<Holding>, reason: &str) {
        if let Some(held) = holding {
            self.say_holder(false, held.fencing, reason);
        }
    }

    async fn let_go(&self, held: Holding) {
        let release = Txn {
            compares: vec![Compare::ModRevision(HOLDER_KEY.to_owned(), held.fencing)],
            success: vec![Op::Delete(HOLDER_KEY.to_owned())],
            ..Txn::default()
        };
        if let Err(error) = self.shared.kv.txn(release).await {
            log::info!("right to give orders is left to lapse: {error}");
        }
        self.say_holder(false, held.fencing, "this instance stops");
    }

    /// Ready instances before this one in the order of names.
    fn rank(&self) -> u32 {
        let known = self.shared.known();
        let own = &self.shared.settings.instance;
        let before = known
            .ready_members()
            .into_iter()
            .filter(|(name, _)| *name < own);
        u32::try_from(before.count()).unwrap_or(u32::MAX).min(20)
    }

    /// Targets to order now.
    fn plan(&self, ordered: &HashSet<String>) -> Vec<(Arc<TargetState>, Loadable, u64)> {
        let known = self.shared.known();
        let view = known.view(boot_time());
        let mut planned = Vec::new();
        for (model, wanted) in &view.wanted {
            for targets in view.pools.values() {
                let of_model = targets.iter().filter(|target| !target.leaving);
                let pool: Vec<Loadable> = of_model
                    .filter_map(|target| {
                        Some(Loadable {
                            target: target.id.clone(),
                            model: model.clone(),
                            version: target.version(model)?,
                            in_flight_count: target.live.in_flight_count(),
                            ordered: ordered.contains(&target.id),
                        })
                    })
                    .collect();
                for loadable in rollout::next(&pool, wanted.version()) {
                    let target = targets.iter().find(|target| target.id == loadable.target);
                    let target = target.map(|it| (it.clone(), loadable.clone(), wanted.version()));
                    planned.extend(target);
                }
            }
        }
        planned
    }

    /// Orders one target to new weights and waits until it has them. Gives its name back.
    async fn replace(
        &self,
        held: Holding,
        target: Arc<TargetState>,
        loadable: Loadable,
        wanted: u64,
    ) -> TargetId {
        let Some(report) = self.drained(&target, &loadable.model).await else {
            sleep(LOADING_PERIOD).await;
            return target.id.clone();
        };
        let reported = report.models.iter().find(|it| it.model == loadable.model);
        if let Some(state) = reported {
            target.live.note_version(&state.model, state.version);
        }
        if reported.is_some_and(|it| it.version >= wanted) {
            return target.id.clone();
        }
        let is_ordered =
            !report.busy && self.order(held, &target, &loadable, wanted, &report).await;
        if is_ordered {
            self.wait(&target, &loadable.model, wanted).await;
        } else {
            sleep(LOADING_PERIOD).await;
        }
        target.id.clone()
    }

    /// Waits until a target that takes no calls any more has nothing to do, but not for its longest
    /// runs. Gives its last report.
    async fn drained(&self, target: &TargetState, model: &str) -> Option<TargetReport> {
        let mut report = self.report(target).await?;
        for _ in 0..DRAIN_ROUNDS_COUNT {
            let has_runs = report.running_count + report.waiting_count > 0;
            if !has_runs || report.busy || !self.waits_for_runs(model) {
                break;
            }
            sleep(DRAIN_PERIOD).await;
            report = self.report(target).await?;
        }
        Some(report)
    }

    /// Whether the newest weights of `model` were named so lately that runs are waited for.
    fn waits_for_runs(&self, model: &str) -> bool {
        let known = self.shared.known();
        let since = known.wanted().get(model).map(Wanted::since);
        let age = boot_time().saturating_sub(since.unwrap_or_default());
        rollout::waits_for_runs(age, self.shared.settings.version_bound)
    }

    async fn order(
        &self,
        held: Holding,
        target: &TargetState,
        loadable: &Loadable,
        wanted: u64,
        report: &TargetReport,
    ) -> bool {
        // Asked for at the last moment: this instance may have been suspended since the report.
        let tenure = self.shared.tenure();
        let fencing = tenure.and_then(|it| held.fencing(&it, boot_time(), ARRIVAL_MARGIN));
        let Some(fencing) = fencing else {
            return false;
        };
        let order = VersionOrder {
            target: target.id.clone(),
            model: loadable.model.clone(),
            version: wanted,
            runs: if report.running_count + report.waiting_count == 0 {
                RunsMeanwhile::Finish
            } else {
                RunsMeanwhile::GoOn
            },
            holder: self.shared.settings.instance.clone(),
            fencing,
            accepted_orders_count: report.accepted_orders_count,
        };
        let call = self.shared.format.order_call(&order);
        let sent = self
            .client
            .send(target.address, call, Reuse::Fresh, ANSWER_TIME)
            .await;
        let outcome = match sent {
            Ok(reply) => Ok(self.shared.format.order_outcome(reply.status().as_u16())),
            Err(error) => Err(error),
        };
        self.shared.log.emit(&Event::Order {
            target: order.target,
            model: order.model,
            version: wanted,
            fencing,
            accepted_before: order.accepted_orders_count,
            outcome: match &outcome {
                Ok(outcome) => format!("{outcome:?}"),
                Err(error) => error.to_string(),
            },
        });
        match outcome {
            Ok(OrderOutcome::Holds) => {
                target.live.note_version(&loadable.model, wanted);
                true
            }
            Ok(OrderOutcome::Accepted) | Err(SendError::Unknown { .. }) => true,
            Ok(_) | Err(_) => false,
        }
    }

    /// Asks the target until it has the wanted weights.
    async fn wait(&self, target: &TargetState, model: &str, wanted: u64) {
        let rounds = LOADING_TIME.as_millis() / LOADING_PERIOD.as_millis();
        for _ in 0..rounds {
            sleep(LOADING_PERIOD).await;
            let Some(report) = self.report(target).await else {
                return;
            };
            let state = report.models.iter().find(|state| state.model == model);
            let Some(state) = state else {
                return;
            };
            if state.version >= wanted {
                target.live.note_version(model, state.version);
                return;
            }
        }
    }

    async fn report(&self, target: &TargetState) -> Option<TargetReport> {
        let call = self.shared.format.report_call();
        let sent = self
            .client
            .send(target.address, call, Reuse::Allowed, ANSWER_TIME)
            .await;
        let body = match sent {
            Ok(mut reply) => reply.body(ANSWER_TIME).await,
            Err(error) => Err(error),
        };
        match body {
            Ok(body) => self.shared.format.report(&body),
            Err(error) => {
                log::info!("no report: {error}");
                None
            }
        }
    }

    fn say_holder(&self, held: bool, fencing: u64, reason: &str) {
        self.shared.log.emit(&Event::Holder {
            held,
            fencing,
            reason: reason.to_owned(),
        });
    }
}
