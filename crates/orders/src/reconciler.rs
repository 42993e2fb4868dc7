//! One pass after another: hold targets, observe them, give them orders.

use {
    crate::{
        Candidates, LeaseHolder, LeaseHolderSettings, LoadLimits, ObservedState, OrderError,
        PlannedOrder, TargetControl, load_slots::LoadSlots, plan,
    },
    catalog::{Catalog, Revision, Target, TargetId, TargetKind},
    futures::future::join_all,
    keyvalue::{KeyValue, KvError},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
    tokio::time::{Instant, timeout},
};

/// How long slots of unknown state are looked after.
const SWEEP_TIME: Duration = Duration::from_mins(1);

/// How orders are given.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReconcilerSettings {
    /// How targets are held.
    pub holder: LeaseHolderSettings,
    /// How much may change at once.
    pub limits: LoadLimits,
    /// Longest time for one observation or order. Must not exceed the holder's margin.
    pub order_timeout: Duration,
    /// A load that is not observed after this time is given up and may be ordered again.
    pub load_timeout: Duration,
}

impl ReconcilerSettings {
    /// The defaults for one holder.
    #[must_use]
    pub fn new(holder: LeaseHolderSettings) -> Self {
        Self {
            holder,
            limits: LoadLimits::default(),
            order_timeout: Duration::from_secs(2),
            load_timeout: Duration::from_mins(1),
        }
    }
}

/// An order that was given, and what came of it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OrderOutcome {
    /// The order.
    pub planned: PlannedOrder,
    /// Fencing number that it carried.
    pub fencing_token: Revision,
    /// What the target answered.
    pub result: Result<(), OrderError>,
}

/// A load that was ordered and is not observed yet.
#[derive(Clone, Debug)]
struct Load {
    planned: PlannedOrder,
    give_up_at: Instant,
}

/// Gives orders to the targets that this instance holds.
#[derive(Debug)]
pub struct Reconciler<Kv, Targets> {
    settings: ReconcilerSettings,
    targets: Targets,
    holder: LeaseHolder<Kv>,
    slots: LoadSlots<Kv>,
    loads: BTreeMap<TargetId, Load>,
    candidates: Candidates,
    candidates_revision: Option<Revision>,
    sweep_until: Option<Instant>,
}

impl<Kv, Targets> Reconciler<Kv, Targets>
where
    Kv: KeyValue,
    Targets: TargetControl,
{
    /// Holds nothing yet.
    #[must_use]
    pub fn new(kv: Kv, targets: Targets, settings: ReconcilerSettings) -> Self {
        Self {
            holder: LeaseHolder::new(kv.clone(), settings.holder.clone()),
            slots: LoadSlots::new(kv, settings.limits),
            settings,
            targets,
            loads: BTreeMap::new(),
            candidates: Candidates::default(),
            candidates_revision: None,
            sweep_until: None,
        }
    }

    /// One pass over the engines that `owns` selects. Call it about once a second from the control
    /// thread, in turn. Returns the orders that were given.
    ///
    /// # Errors
    /// [`KvError`] if the key-value service did not answer; nothing more was ordered then.
    pub async fn run_once<Owns>(
        &mut self,
        catalog: &Catalog,
        owns: Owns,
    ) -> Result<Vec<OrderOutcome>, KvError>
    where
        Owns: Fn(&TargetId) -> bool,
    {
        self.refresh_candidates(catalog);
        self.holder.renew().await?;
        self.holder.sync(&wanted(catalog, owns)).await?;
        let observed = self.observe(catalog).await;
        self.end_loads(&observed);
        self.sweep().await?;
        let loading: Vec<PlannedOrder> =
            self.loads.values().map(|one| one.planned.clone()).collect();
        let limits = &self.settings.limits;
        let planned = plan(catalog, &self.candidates, &observed, &loading, limits);
        let mut given = Vec::new();
        for next in planned {
            given.extend(self.give(catalog, next).await?);
        }
        Ok(given)
    }

    /// Stops giving orders and lets go of all targets, as before a shutdown.
    pub async fn resign(&mut self) {
        self.loads.clear();
        self.holder.resign().await;
    }

    /// The leases on targets.
    #[must_use]
    pub fn holder(&self) -> &LeaseHolder<Kv> {
        &self.holder
    }

    fn refresh_candidates(&mut self, catalog: &Catalog) {
        if self.candidates_revision == Some(catalog.revision) {
            return;
        }
        self.candidates = Candidates::from(catalog);
        self.candidates_revision = Some(catalog.revision);
    }

    async fn observe(&self, catalog: &Catalog) -> BTreeMap<TargetId, ObservedState> {
        let held = self.holder.held_targets();
        let targets = held.filter_map(|name| catalog.targets.get(name));
        let observing = targets.map(|target| self.observe_one(target));
        join_all(observing).await.into_iter().flatten().collect()
    }

    async fn observe_one(&self, target: &Target) -> Option<(TargetId, ObservedState)> {
        let observing = self.targets.observe(target);
        let observed = match timeout(self.settings.order_timeout, observing).await {
            Ok(observed) => observed,
            Err(_) => Err(timed_out()),
        };
        match observed {
            Ok(observed) => Some((target.name.clone(), observed)),
            Err(error) => {
                log::warn!("target {} gets no orders: {error}", target.name);
                None
            }
        }
    }

    /// Forgets loads that were observed, took too long or belong to a target that is not held.
    fn end_loads(&mut self, observed: &BTreeMap<TargetId, ObservedState>) {
        let now = Instant::now();
        let held: BTreeSet<TargetId> = self.holder.held_targets().cloned().collect();
        let before = self.loads.len();
        self.loads.retain(|target, load| {
            let done = observed
                .get(target)
                .is_some_and(|state| state.satisfies(&load.planned.order));
            !done && now < load.give_up_at && held.contains(target)
        });
        if self.loads.len() < before {
            self.sweep_soon();
        }
    }

    fn sweep_soon(&mut self) {
        self.sweep_until = Some(Instant::now() + SWEEP_TIME);
    }

    async fn sweep(&mut self) -> Result<(), KvError> {
        let (Some(until), Some(lease)) = (self.sweep_until, self.holder.lease_id()) else {
            return Ok(());
        };
        let loading = self.loads.keys().cloned().collect();
        self.slots.sweep(lease, &loading).await?;
        if Instant::now() >= until {
            self.sweep_until = None;
        }
        Ok(())
    }

    async fn give(
        &mut self,
        catalog: &Catalog,
        planned: PlannedOrder,
    ) -> Result<Option<OrderOutcome>, KvError> {
        let Some(target) = catalog.targets.get(&planned.target) else {
            return Ok(None);
        };
        let may_order =
            |holder: &LeaseHolder<Kv>| holder.fencing_token(&target.name, target.checks_fencing);
        if may_order(&self.holder).is_none() {
            return Ok(None);
        }
        if planned.order.is_load() && !self.take_slot(&planned).await? {
            return Ok(None);
        }
        // Taking the slot may have lasted long: the lease is checked again right before the order.
        let Some(fencing_token) = may_order(&self.holder) else {
            self.end_load(&target.name);
            return Ok(None);
        };
        let ordering = self.targets.order(target, fencing_token, &planned.order);
        let result = match timeout(self.settings.order_timeout, ordering).await {
            Ok(result) => result,
            Err(_) => Err(timed_out()),
        };
        self.note_result(&target.name, &result);
        Ok(Some(OrderOutcome {
            planned,
            fencing_token,
            result,
        }))
    }

    async fn take_slot(&mut self, planned: &PlannedOrder) -> Result<bool, KvError> {
        let Some(lease) = self.holder.lease_id() else {
            return Ok(false);
        };
        let engine_counts = self.candidates.engine_counts();
        let taken = self.slots.take(planned, lease, &engine_counts).await;
        if taken.is_err() {
            self.sweep_soon();
        }
        if !taken? {
            return Ok(false);
        }
        let load = Load {
            planned: planned.clone(),
            give_up_at: Instant::now() + self.settings.load_timeout,
        };
        self.loads.insert(planned.target.clone(), load);
        Ok(true)
    }

    /// A load goes on unless the target said that it did nothing.
    fn note_result(&mut self, target: &TargetId, result: &Result<(), OrderError>) {
        match result {
            Ok(()) | Err(OrderError::NoAnswer { .. }) => {}
            Err(OrderError::Refused { .. }) => self.end_load(target),
            Err(OrderError::StaleFencing { .. }) => {
                self.end_load(target);
                self.holder.mark_lost(target);
            }
        }
    }

    fn end_load(&mut self, target: &TargetId) {
        if self.loads.remove(target).is_some() {
            self.sweep_soon();
        }
    }
}

/// Engines that the instance shall hold.
fn wanted<Owns>(catalog: &Catalog, owns: Owns) -> BTreeSet<TargetId>
where
    Owns: Fn(&TargetId) -> bool,
{
    catalog
        .targets
        .values()
        .filter(|target| target.kind == TargetKind::Engine && !target.leaving)
        .filter(|target| owns(&target.name))
        .map(|target| target.name.clone())
        .collect()
}

fn timed_out() -> OrderError {
    OrderError::NoAnswer {
        reason: "timed out".to_owned(),
    }
}
