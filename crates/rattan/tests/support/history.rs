//! Records the operations of concurrent processes in the order observed.

use {
    std::sync::{Mutex, PoisonError},
    todc_utils::{
        linearizability::{
            WGLChecker,
            history::{Action, History, ProcessId},
        },
        specifications::Specification,
    },
};

/// Calls and responses of the operations on one shared object.
#[derive(Debug)]
pub struct Recorder<Operation> {
    actions: Mutex<Vec<(ProcessId, Action<Operation>)>>,
}

impl<Operation> Default for Recorder<Operation> {
    fn default() -> Self {
        Self {
            actions: Mutex::default(),
        }
    }
}

impl<Operation> Recorder<Operation>
where
    Operation: Clone,
{
    /// Records that a process starts an operation. Each process has at most one open operation.
    pub fn call(&self, process: ProcessId, operation: Operation) {
        self.push(process, Action::Call(operation));
    }

    /// Records the result of the open operation of a process.
    pub fn respond(&self, process: ProcessId, operation: Operation) {
        self.push(process, Action::Response(operation));
    }

    /// Number of recorded operations.
    pub fn operation_count(&self) -> usize {
        self.lock().len() / 2
    }

    /// Whether the history is linearizable. All operations must have ended.
    pub fn is_linearizable<Spec>(&self) -> bool
    where
        Spec: Specification<Operation = Operation>,
    {
        let actions = self.lock().clone();
        actions.is_empty() || WGLChecker::<Spec>::is_linearizable(History::from_actions(actions))
    }

    fn push(&self, process: ProcessId, action: Action<Operation>) {
        self.lock().push((process, action));
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<(ProcessId, Action<Operation>)>> {
        self.actions.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
