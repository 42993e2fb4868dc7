//! Plans the orders that bring targets from their observed to their desired state.

use {
    crate::{
        Candidate, Candidates, ObservedState, Order, PlannedOrder,
        candidates::{ROLE_LABEL, desired_adapters},
    },
    catalog::{Catalog, ModelId, Target, TargetId},
    std::collections::BTreeMap,
};

/// Limits on how many targets load at once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadLimits {
    /// Number of targets in the whole fleet that may load at once. With more than three, each load
    /// becomes slower.
    pub max_load_count: usize,
    /// One in this many engines of a model may load at once, and always at least one.
    pub engines_per_load: usize,
}

impl Default for LoadLimits {
    fn default() -> Self {
        Self {
            max_load_count: 3,
            engines_per_load: 4,
        }
    }
}

impl LoadLimits {
    /// Returns how many engines may load at once, of a model that has `engine_count` engines.
    #[must_use]
    pub fn max_model_load_count(&self, engine_count: usize) -> usize {
        (engine_count / self.engines_per_load.max(1)).max(1)
    }
}

/// Returns the orders to give now, sorted by target name.
///
/// `loading` holds the loads in progress, of all instances as far as known. Targets that leave and
/// targets that were not observed get no order.
#[must_use]
pub fn plan(
    catalog: &Catalog,
    candidates: &Candidates,
    observed: &BTreeMap<TargetId, ObservedState>,
    loading: &[PlannedOrder],
    limits: &LoadLimits,
) -> Vec<PlannedOrder> {
    let assigned = candidates.assign(observed);
    let mut budget = LoadBudget {
        limits: *limits,
        assigned: &assigned,
        loading: loading.to_vec(),
    };
    let mut planned = Vec::new();
    for (name, state) in observed {
        let Some(target) = catalog.targets.get(name) else {
            continue;
        };
        if target.leaving || state.leaving || budget.is_loading(name) {
            continue;
        }
        let assignment = assigned.get(name);
        let Some(order) = next_order(target, state, assignment) else {
            continue;
        };
        let models = affected_models(candidates, state, assignment);
        let next = PlannedOrder {
            target: name.clone(),
            order,
            models,
        };
        if budget.try_admit(&next) {
            planned.push(next);
        }
    }
    planned
}

/// Returns an order for the first thing that a target lacks: its version, then an adapter, then its
/// role.
fn next_order(
    target: &Target,
    state: &ObservedState,
    assigned: Option<&Candidate>,
) -> Option<Order> {
    let version = assigned.map(|candidate| Order::LoadVersion {
        version: candidate.version.clone(),
    });
    let adapters = desired_adapters(target).map(|adapter| Order::LoadAdapter {
        adapter: adapter.to_owned(),
    });
    let role = target
        .labels
        .get(ROLE_LABEL)
        .map(|role| Order::SetRole { role: role.clone() });
    version
        .into_iter()
        .chain(adapters)
        .chain(role)
        .find(|order| !state.satisfies(order))
}

/// Returns the model that the engine serves now and the one that it is assigned to.
fn affected_models(
    candidates: &Candidates,
    state: &ObservedState,
    assigned: Option<&Candidate>,
) -> Vec<ModelId> {
    let mut models: Vec<ModelId> = candidates
        .model(&state.version)
        .cloned()
        .into_iter()
        .collect();
    let next = assigned.map(|candidate| candidate.model.clone());
    models.extend(next.filter(|model| !models.contains(model)));
    models
}

/// Tracks how many loads may still start within the limits.
struct LoadBudget<'assigned> {
    limits: LoadLimits,
    assigned: &'assigned BTreeMap<TargetId, Candidate>,
    loading: Vec<PlannedOrder>,
}

impl LoadBudget<'_> {
    fn is_loading(&self, target: &TargetId) -> bool {
        self.loading.iter().any(|load| load.target == *target)
    }

    /// Returns whether an order may be given now. If it is a load, it then counts as in progress.
    fn try_admit(&mut self, planned: &PlannedOrder) -> bool {
        if !planned.order.is_load() {
            return true;
        }
        if self.loading.len() >= self.limits.max_load_count {
            return false;
        }
        let is_within_limit = planned.models.iter().all(|model| self.may_load(model));
        if is_within_limit {
            self.loading.push(planned.clone());
        }
        is_within_limit
    }

    /// Whether one more engine of `model` may load.
    fn may_load(&self, model: &ModelId) -> bool {
        let engines = self
            .assigned
            .values()
            .filter(|candidate| candidate.model == *model);
        let loading = self
            .loading
            .iter()
            .filter(|load| load.models.contains(model));
        loading.count() < self.limits.max_model_load_count(engines.count())
    }
}
