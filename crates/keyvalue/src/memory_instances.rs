//! An in-memory instance list.

use {
    crate::{Instance, InstanceList, InstanceListError, InstanceState},
    catalog::InstanceId,
    std::{
        collections::BTreeMap,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
    },
};

/// What the list holds and whether it answers.
#[derive(Debug, Default)]
struct ListState {
    instances: BTreeMap<InstanceId, Instance>,
    unreachable: bool,
}

/// An instance list in memory, for tests. Clones share one list; [`MemoryInstances::snapshot`]
/// gives one of its own, as if it were seen with a lag.
#[derive(Clone, Debug, Default)]
pub struct MemoryInstances {
    state: Arc<Mutex<ListState>>,
}

impl MemoryInstances {
    /// An empty list.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds or replaces one instance.
    pub fn put(&self, instance: Instance) {
        let mut state = self.lock();
        state.instances.insert(instance.name.clone(), instance);
    }

    /// Marks one instance as leaving.
    pub fn set_leaving(&self, name: &str) {
        if let Some(instance) = self.lock().instances.get_mut(name) {
            instance.state = InstanceState::Leaving;
        }
    }

    /// Takes one instance off the list.
    pub fn remove(&self, name: &str) {
        self.lock().instances.remove(name);
    }

    /// Whether reads of the list fail.
    pub fn set_unreachable(&self, unreachable: bool) {
        self.lock().unreachable = unreachable;
    }

    /// A list of its own that starts with the present content.
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
