//! The conditions and writes of the transaction that applies a change.

use {
    crate::{
        ApplyError, ApplyOutcome, Change, Precondition, Snapshot, keys::object_key,
        writer::revision_condition,
    },
    catalog::{Catalog, Edit, Object, ObjectKind, Warning, warnings},
    keyvalue::{Compare, Op},
};

/// Maximum number of operations the service accepts in one transaction.
const MAX_TXN_OPS_COUNT: usize = 128;
/// Operations of a transaction besides the objects: the change's record and the key of the last
/// change.
const BOOKKEEPING_OPS_COUNT: usize = 2;
/// Maximum total size of the values in one transaction, in bytes.
const MAX_VALUE_BYTES: usize = 1_000_000;

/// Maximum number of objects that one transaction changes.
const MAX_OBJECTS_COUNT: usize = MAX_TXN_OPS_COUNT - BOOKKEEPING_OPS_COUNT;
/// Maximum number of objects in one part of a split change. Half of a transaction, since activating
/// model versions may deactivate as many others.
pub(crate) const MAX_PART_OBJECTS_COUNT: usize = MAX_OBJECTS_COUNT / 2;

/// The conditions and writes of a change, and the parts of its outcome that are known beforehand.
pub(crate) struct TransactionPlan {
    /// Conditions that no object was changed since it was read.
    pub compares: Vec<Compare>,
    /// Writes and deletions of the objects.
    pub ops: Vec<Op>,
    deactivated: Vec<String>,
    warnings: Vec<Warning>,
}

impl TransactionPlan {
    /// Validates the changes against the snapshot and plans their transaction.
    pub(crate) fn new(snapshot: &Snapshot, changes: &[Change]) -> Result<Self, ApplyError> {
        check_preconditions(snapshot, changes)?;
        let edits: Vec<Edit> = changes.iter().map(|change| change.edit.clone()).collect();
        let edited = snapshot.catalog.with_edits(&edits);
        let edited = edited.map_err(|source| ApplyError::Invalid { source })?;
        let mut plan = Self {
            compares: Vec::new(),
            ops: Vec::new(),
            deactivated: Vec::new(),
            warnings: warnings(&edited),
        };
        for edit in &edits {
            plan.add_edit(snapshot, edit);
        }
        plan.add_deactivated_versions(snapshot, &edited, &edits);
        plan.check_size()?;
        Ok(plan)
    }

    /// The outcome if the transaction is committed at `revision`.
    pub(crate) fn outcome(&self, revision: u64) -> ApplyOutcome {
        ApplyOutcome {
            revision,
            deactivated: self.deactivated.clone(),
            warnings: self.warnings.clone(),
        }
    }

    /// Adds the condition and the write for one object.
    fn add_edit(&mut self, snapshot: &Snapshot, edit: &Edit) {
        let key = object_key(edit.kind(), edit.name());
        let current_revision = snapshot.revision_of(edit.kind(), edit.name());
        self.compares
            .push(revision_condition(key.clone(), current_revision));
        self.ops.push(match edit {
            Edit::Put(object) => Op::Put(key, object.to_json().into(), None),
            Edit::Delete(..) => Op::Delete(key),
        });
    }

    /// Adds writes for the model versions that the edits deactivate without changing them directly.
    fn add_deactivated_versions(&mut self, snapshot: &Snapshot, edited: &Catalog, edits: &[Edit]) {
        let kind = ObjectKind::ModelVersion;
        for (name, version) in &edited.model_versions {
            let is_edited = edits
                .iter()
                .any(|edit| edit.kind() == kind && edit.name() == name);
            if is_edited || snapshot.catalog.model_versions.get(name) == Some(version) {
                continue;
            }
            let edit = Edit::Put(Object::ModelVersion(version.clone()));
            self.add_edit(snapshot, &edit);
            self.deactivated.push(name.clone());
        }
    }

    fn check_size(&self) -> Result<(), ApplyError> {
        let value_bytes = self.ops.iter().map(value_len).sum();
        if self.ops.len() <= MAX_OBJECTS_COUNT && value_bytes <= MAX_VALUE_BYTES {
            return Ok(());
        }
        Err(ApplyError::TooLarge {
            keys_count: self.ops.len(),
            value_bytes,
            max_keys_count: MAX_OBJECTS_COUNT,
            max_value_bytes: MAX_VALUE_BYTES,
        })
    }
}

fn value_len(op: &Op) -> usize {
    match op {
        Op::Put(_, value, _) => value.len(),
        _ => 0,
    }
}

fn check_preconditions(snapshot: &Snapshot, changes: &[Change]) -> Result<(), ApplyError> {
    for change in changes {
        let (kind, name) = (change.edit.kind(), change.edit.name());
        let current = snapshot.revision_of(kind, name);
        let expected = match change.precondition {
            Precondition::Absent => 0,
            Precondition::Revision(revision) => revision,
        };
        if current != expected {
            return Err(ApplyError::Conflict {
                kind,
                name: name.to_owned(),
                current,
            });
        }
    }
    Ok(())
}
