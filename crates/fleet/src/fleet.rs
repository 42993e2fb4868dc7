//! Views of all configured targets.

use {
    crate::{ListedState, TargetView},
    arc_swap::ArcSwap,
    catalog::{Catalog, TargetId},
    std::{collections::BTreeMap, sync::Arc, time::Instant},
};

/// Views of all configured targets, by name.
#[derive(Debug, Default)]
pub struct Fleet {
    views: ArcSwap<BTreeMap<TargetId, Arc<TargetView>>>,
}

impl Fleet {
    /// Adapts the views to the configuration. A target that is still configured keeps its view,
    /// unless its address changed: then it gets a new one.
    pub fn sync(&self, catalog: &Catalog) {
        let old = self.views.load();
        let views = catalog
            .targets
            .values()
            .map(|target| {
                let view = old
                    .get(&target.name)
                    .filter(|view| view.address() == target.address)
                    .cloned()
                    .unwrap_or_else(|| Arc::new(TargetView::new(target)));
                (target.name.clone(), view)
            })
            .collect();
        self.views.store(Arc::new(views));
    }

    /// Returns the view of a target, if it is configured.
    #[must_use]
    pub fn view(&self, target: &str) -> Option<Arc<TargetView>> {
        self.views.load().get(target).cloned()
    }

    /// Returns the views of all targets.
    #[must_use]
    pub fn views(&self) -> Vec<Arc<TargetView>> {
        self.views.load().values().cloned().collect()
    }

    /// Updates all views with the states that the instance list showed at `now`.
    pub fn apply_listing(&self, listed: &BTreeMap<TargetId, ListedState>, now: Instant) {
        for (name, view) in self.views.load().iter() {
            let shown = listed.get(name).copied().unwrap_or(ListedState::Absent);
            view.set_listed(shown, now);
        }
    }
}
