//! Record of the operators' operations, in the order of their calls and answers.

use {
    super::spec::{ConfigurationSpec, Ended, Operation},
    std::{collections::BTreeSet, fmt},
    todc_utils::linearizability::{
        WGLChecker,
        history::{Action, History},
    },
};

/// Index of an operation in the journal.
pub type OperationId = usize;

/// Calls and answers of all operations, in order.
#[derive(Debug, Default)]
pub struct Journal {
    /// Operations by id; `None` if an operation has no answer and no effect.
    operations: Vec<Option<Operation>>,
    /// Operation, and whether the event is its call rather than its answer.
    events: Vec<(OperationId, bool)>,
}

impl Journal {
    /// Records the call of an operation.
    pub fn record_call(&mut self) -> OperationId {
        let id = self.operations.len();
        self.operations.push(None);
        self.events.push((id, true));
        id
    }

    /// Records the answer of an operation. An operation without an answer had no effect.
    pub fn record_answer(&mut self, id: OperationId, operation: Operation) {
        self.operations[id] = Some(operation);
        self.events.push((id, false));
    }

    /// Records a change whose outcome is unknown; it may take effect at any later time.
    pub fn record_unknown(
        &mut self,
        id: OperationId,
        expected: [Option<i32>; 2],
        new: [Option<i32>; 2],
    ) {
        let ended = None;
        self.operations[id] = Some(Operation::Change {
            expected,
            new,
            ended,
        });
    }

    /// Number of operations with an answer.
    pub fn answers_count(&self) -> usize {
        self.events.iter().filter(|(_, is_call)| !is_call).count()
    }

    /// Number of changes that ended in this way.
    pub fn ended_count(&self, wanted: Ended) -> usize {
        let matches = |operation: &&Option<Operation>| matches!(operation, Some(Operation::Change { ended: Some(ended), .. }) if *ended == wanted);
        self.operations.iter().filter(matches).count()
    }

    /// Number of changes whose outcome is unknown.
    pub fn unknown_count(&self) -> usize {
        let unknown = |operation: &&Option<Operation>| {
            matches!(operation, Some(Operation::Change { ended: None, .. }))
        };
        self.operations.iter().filter(unknown).count()
    }

    /// Whether the history is linearizable: each operation can have taken effect at one moment
    /// between its call and its answer.
    pub fn is_linearizable(&mut self) -> bool {
        self.resolve_unknown_changes();
        let actions = self.events.iter().filter_map(|(id, is_call)| {
            let operation = self.operations[*id].clone()?;
            let action = match is_call {
                true => Action::Call(operation),
                false => Action::Response(operation),
            };
            Some((*id, action))
        });
        let actions: Vec<_> = actions.collect();
        actions.is_empty()
            || WGLChecker::<ConfigurationSpec>::is_linearizable(History::from_actions(actions))
    }

    /// Decides the outcome of unknown changes. Values are unique, so a change took effect if one of
    /// its values was read; its answer is placed at the end of the run. Any other one is dropped,
    /// since it has no visible effect.
    fn resolve_unknown_changes(&mut self) {
        let values_read = self.values_read();
        for id in 0..self.operations.len() {
            let Some(Operation::Change { new, ended, .. }) = &mut self.operations[id] else {
                continue;
            };
            if ended.is_some() {
                continue;
            }
            if new
                .iter()
                .flatten()
                .any(|value| values_read.contains(value))
            {
                *ended = Some(Ended::Applied);
                self.events.push((id, false));
            } else {
                self.operations[id] = None;
            }
        }
    }

    /// All values that some operation read.
    fn values_read(&self) -> BTreeSet<i32> {
        let mut values_read = BTreeSet::new();
        for operation in self.operations.iter().flatten() {
            if let Operation::Read(Some(values)) = operation {
                values_read.extend(values);
            }
        }
        values_read
    }
}

/// One line for each call and answer, in order.
impl fmt::Display for Journal {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (id, is_call) in &self.events {
            match (is_call, &self.operations[*id]) {
                (true, _) => writeln!(formatter, "{id} call")?,
                (false, operation) => writeln!(formatter, "{id} answer {operation:?}")?,
            }
        }
        for (id, operation) in self.operations.iter().enumerate() {
            if let Some(Operation::Change { ended: None, .. }) = operation {
                writeln!(formatter, "{id} unknown {operation:?}")?;
            }
        }
        Ok(())
    }
}
