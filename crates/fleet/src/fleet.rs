//! Views of all configured targets.

use {
    crate::View,
    arc_swap::ArcSwap,
    catalog::{Catalog, TargetId},
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
    },
};

/// Views of all configured targets, by name.
#[derive(Debug, Default)]
pub struct Fleet {
    views: ArcSwap<BTreeMap<TargetId, Arc<View>>>,
}

impl Fleet {
    /// Brings the views in line with the configuration. A target that stays keeps its view; one
    /// whose address changed gets a new view.
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
                    .unwrap_or_else(|| Arc::new(View::new(target)));
                (target.name.clone(), view)
            })
            .collect();
        self.views.store(Arc::new(views));
    }

    /// View of one target, if it is configured.
    #[must_use]
    pub fn view(&self, target: &str) -> Option<Arc<View>> {
        self.views.load().get(target).cloned()
    }

    /// Views of all targets.
    #[must_use]
    pub fn views(&self) -> Vec<Arc<View>> {
        self.views.load().values().cloned().collect()
    }

    /// Takes over which targets the instance list shows as leaving.
    pub fn mark_leaving(&self, leaving: &BTreeSet<TargetId>) {
        for (name, view) in self.views.load().iter() {
            view.set_listed_leaving(leaving.contains(name));
        }
    }
}
