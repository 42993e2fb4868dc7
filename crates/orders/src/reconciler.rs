//! The control loop's passes: acquire targets, observe them and give them orders.

use {
    crate::{
        Candidates, LeaseHolder, LeaseHolderSettings, LoadLimits, ObservedState, OrderError,
        PlannedOrder, TargetControl, load_slots::LoadSlots, plan,
    },
    catalog::{Catalog, Revision, Target, TargetId, TargetKind},
    fencing::FencingToken,
    futures::future::join_all,
    keyvalue::{KeyValue, KvError},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
    tokio::time::{Instant, timeout},
};

/// Time during which every pass frees unused slots, after a load has ended or the answer to a slot
/// request was lost. Such a request may still take effect.
const SLOT_CLEANUP_TIME: Duration = Duration::from_mins(1);

/// Settings of a [`Reconciler`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReconcilerSettings {
    /// Settings of the leases on targets.
    pub holder: LeaseHolderSettings,
    /// How many targets may load at once.
    pub limits: LoadLimits,
    /// Timeout of one observation or order. It must not exceed the holder's margin.
    pub order_timeout: Duration,
    /// A load whose result is not observed within this time is given up and may be ordered again.
    pub load_timeout: Duration,
}

impl ReconcilerSettings {
    /// Returns the default settings with the given leases on targets.
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

/// An order that was sent, and its result.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OrderOutcome {
    /// The order and its target.
    pub planned: PlannedOrder,
    /// Fencing token that was sent with the order.
    pub fencing_token: FencingToken,
    /// The target's answer.
    pub result: Result<(), OrderError>,
}

/// A load that was ordered and whose result has not been observed yet.
#[derive(Clone, Debug)]
struct PendingLoad {
    planned: PlannedOrder,
    give_up_at: Instant,
}

/// Brings the targets that this instance holds to their desired state.
#[derive(Debug)]
pub struct Reconciler<Kv, Targets> {
    settings: ReconcilerSettings,
    targets: Targets,
    holder: LeaseHolder<Kv>,
    slots: LoadSlots<Kv>,
    pending_loads: BTreeMap<TargetId, PendingLoad>,
    candidates: Candidates,
    candidates_revision: Option<Revision>,
    slot_cleanup_until: Option<Instant>,
}

impl<Kv, Targets> Reconciler<Kv, Targets>
where
    Kv: KeyValue,
    Targets: TargetControl,
{
    /// Creates a reconciler that holds no targets yet.
    #[must_use]
    pub fn new(kv: Kv, targets: Targets, settings: ReconcilerSettings) -> Self {
        Self {
            holder: LeaseHolder::new(kv.clone(), settings.holder.clone()),
            slots: LoadSlots::new(kv, settings.limits),
            settings,
            targets,
            pending_loads: BTreeMap::new(),
            candidates: Candidates::default(),
            candidates_revision: None,
            slot_cleanup_until: None,
        }
    }

    /// Makes one pass over the engines that `owns` selects and returns the orders that it sent.
    /// Call it about once a second from the control thread, one pass at a time.
    ///
    /// # Errors
    /// Returns [`KvError`] if the key-value service did not answer; the pass then sends no more
    /// orders.
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
        self.holder.sync(&wanted_targets(catalog, owns)).await?;
        let observed = self.observe(catalog).await;
        self.remove_ended_loads(&observed);
        self.clean_up_slots().await?;
        let loading: Vec<PlannedOrder> = self
            .pending_loads
            .values()
            .map(|load| load.planned.clone())
            .collect();
        let limits = &self.settings.limits;
        let planned = plan(catalog, &self.candidates, &observed, &loading, limits);
        let mut outcomes = Vec::new();
        for next in planned {
            outcomes.extend(self.send_order(catalog, next).await?);
        }
        Ok(outcomes)
    }

    /// Stops giving orders and releases all targets, for example before a shutdown.
    pub async fn resign(&mut self) {
        self.pending_loads.clear();
        self.holder.resign().await;
    }

    /// Returns the leases on targets.
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

    /// Reads the states of all held targets. Leaves out those that do not answer.
    async fn observe(&self, catalog: &Catalog) -> BTreeMap<TargetId, ObservedState> {
        let held = self.holder.held_targets();
        let targets = held.filter_map(|name| catalog.targets.get(name));
        let observations = targets.map(|target| self.observe_one(target));
        join_all(observations).await.into_iter().flatten().collect()
    }

    async fn observe_one(&self, target: &Target) -> Option<(TargetId, ObservedState)> {
        let observation = self.targets.observe(target);
        let observed = match timeout(self.settings.order_timeout, observation).await {
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

    /// Removes loads whose result was observed, that timed out or whose target is no longer held.
    fn remove_ended_loads(&mut self, observed: &BTreeMap<TargetId, ObservedState>) {
        let now = Instant::now();
        let held: BTreeSet<TargetId> = self.holder.held_targets().cloned().collect();
        let count_before = self.pending_loads.len();
        self.pending_loads.retain(|target, load| {
            let done = observed
                .get(target)
                .is_some_and(|state| state.satisfies(&load.planned.order));
            !done && now < load.give_up_at && held.contains(target)
        });
        if self.pending_loads.len() < count_before {
            self.schedule_slot_cleanup();
        }
    }

    fn schedule_slot_cleanup(&mut self) {
        self.slot_cleanup_until = Some(Instant::now() + SLOT_CLEANUP_TIME);
    }

    /// Frees the slots of this instance that no pending load uses, while a cleanup is scheduled.
    async fn clean_up_slots(&mut self) -> Result<(), KvError> {
        let (Some(until), Some(lease)) = (self.slot_cleanup_until, self.holder.lease_id()) else {
            return Ok(());
        };
        let loading = self.pending_loads.keys().cloned().collect();
        self.slots.free_ended(lease, &loading).await?;
        if Instant::now() >= until {
            self.slot_cleanup_until = None;
        }
        Ok(())
    }

    /// Sends one order and handles its result. Returns `None` if the order was not sent, because this
    /// instance may not give orders to the target or no load slot is free.
    async fn send_order(
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
        if planned.order.is_load() && !self.acquire_slot(&planned).await? {
            return Ok(None);
        }
        // Acquiring the slot may have taken long, so the lease is checked again right before the
        // order.
        let Some(fencing_token) = may_order(&self.holder) else {
            self.remove_load(&target.name);
            return Ok(None);
        };
        let answer = self.targets.order(target, fencing_token, &planned.order);
        let result = match timeout(self.settings.order_timeout, answer).await {
            Ok(result) => result,
            Err(_) => Err(timed_out()),
        };
        self.handle_result(&target.name, &result);
        Ok(Some(OrderOutcome {
            planned,
            fencing_token,
            result,
        }))
    }

    /// Acquires a slot for a load and records the load as pending. Returns false if no slot is free.
    async fn acquire_slot(&mut self, planned: &PlannedOrder) -> Result<bool, KvError> {
        let Some(lease) = self.holder.lease_id() else {
            return Ok(false);
        };
        let engine_counts = self.candidates.engine_counts();
        let acquired = self.slots.acquire(planned, lease, &engine_counts).await;
        if acquired.is_err() {
            self.schedule_slot_cleanup();
        }
        if !acquired? {
            return Ok(false);
        }
        let load = PendingLoad {
            planned: planned.clone(),
            give_up_at: Instant::now() + self.settings.load_timeout,
        };
        self.pending_loads.insert(planned.target.clone(), load);
        Ok(true)
    }

    /// Ends the pending load if the target certainly did nothing. A load whose order was not
    /// answered stays pending, since it may be running.
    fn handle_result(&mut self, target: &TargetId, result: &Result<(), OrderError>) {
        match result {
            Ok(()) | Err(OrderError::NoAnswer { .. }) => {}
            Err(OrderError::Refused { .. }) => self.remove_load(target),
            Err(OrderError::StaleFencing { newest }) => {
                self.remove_load(target);
                self.holder.mark_lost(target, *newest);
            }
        }
    }

    fn remove_load(&mut self, target: &TargetId) {
        if self.pending_loads.remove(target).is_some() {
            self.schedule_slot_cleanup();
        }
    }
}

/// Returns the engines that this instance should hold.
fn wanted_targets<Owns>(catalog: &Catalog, owns: Owns) -> BTreeSet<TargetId>
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
