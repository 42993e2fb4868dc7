//! What operators did, in the order of its calls and answers.

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

/// Calls and answers as they happened.
#[derive(Debug, Default)]
pub struct Journal {
    operations: Vec<Option<Operation>>,
    events: Vec<(OperationId, bool)>,
}

impl Journal {
    /// Notes that an operation begins.
    pub fn record_call(&mut self) -> OperationId {
        let id = self.operations.len();
        self.operations.push(None);
        self.events.push((id, true));
        id
    }

    /// Notes the answer of an operation. One without an answer had no effect.
    pub fn record_answer(&mut self, id: OperationId, operation: Operation) {
        self.operations[id] = Some(operation);
        self.events.push((id, false));
    }

    /// Notes a change whose end is not known; it may take effect at any later time.
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

    /// Operations with an answer.
    pub fn answers_count(&self) -> usize {
        self.events.iter().filter(|(_, is_call)| !is_call).count()
    }

    /// Changes that ended in this way.
    pub fn ended_count(&self, wanted: Ended) -> usize {
        let matches = |operation: &&Option<Operation>| matches!(operation, Some(Operation::Change { ended: Some(ended), .. }) if *ended == wanted);
        self.operations.iter().filter(matches).count()
    }

    /// Operations that ended with no answer.
    pub fn unknown_count(&self) -> usize {
        let unknown = |operation: &&Option<Operation>| {
            matches!(operation, Some(Operation::Change { ended: None, .. }))
        };
        self.operations.iter().filter(unknown).count()
    }

    /// Whether the changes can have taken effect one at a time between their call and answer.
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

    /// A change whose value somebody saw took effect, by the end of the run; another one may as
    /// well not have happened, since values are unique.
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
