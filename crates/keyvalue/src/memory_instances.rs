//! An in-memory instance list.

use {
    crate::{Instance, InstanceList, InstanceListError, InstanceState},
    catalog::InstanceId,
    std::{
        collections::BTreeMap,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
    },
};

/// Content of the list, and whether reads of it fail.
#[derive(Debug, Default)]
struct ListState {
    instances: BTreeMap<InstanceId, Instance>,
    unreachable: bool,
}

/// An instance list in memory, for tests. Clones share one list. [`MemoryInstances::snapshot`]
/// returns an independent copy, to simulate a list that lags behind.
#[derive(Clone, Debug, Default)]
pub struct MemoryInstances {
    state: Arc<Mutex<ListState>>,
}

impl MemoryInstances {
    /// Creates an empty list.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds an instance, or replaces the one of the same name.
    pub fn put(&self, instance: Instance) {
        let mut state = self.lock();
        state.instances.insert(instance.name.clone(), instance);
    }

    /// Marks an instance as leaving; does nothing if it isn't listed.
    pub fn set_leaving(&self, name: &str) {
        if let Some(instance) = self.lock().instances.get_mut(name) {
            instance.state = InstanceState::Leaving;
        }
    }

    /// Removes an instance from the list.
    pub fn remove(&self, name: &str) {
        self.lock().instances.remove(name);
    }

    /// Sets whether reads of the list fail.
    pub fn set_unreachable(&self, unreachable: bool) {
        self.lock().unreachable = unreachable;
    }

    /// Copies the current content to an independent list that can be read.
    #[must_use]
    pub fn snapshot(&self) -> Self {
        let state = ListState {
            instances: self.lock().instances.clone(),
            unreachable: false,
        };
        Self {
            state: Arc::new(Mutex::new(state)),
        }
    }

    fn lock(&self) -> MutexGuard<'_, ListState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl InstanceList for MemoryInstances {
    async fn instances(&self) -> Result<Vec<Instance>, InstanceListError> {
        let state = self.lock();
        if state.unreachable {
            return Err(InstanceListError {
                reason: "switched off".to_owned(),
            });
        }
        Ok(state.instances.values().cloned().collect())
    }
}
