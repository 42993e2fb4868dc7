//! A change that an operator requests, and its JSON form.

use {
    catalog::{Edit, InvalidField, Object, ObjectKind, Revision},
    serde::{Deserialize, Serialize},
};

/// Id of one change, chosen by the requester. It makes the change idempotent: requests with the
/// same id are applied once.
pub type ChangeId = String;

/// State that an object must be in for its change to be applied.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Precondition {
    /// The object does not exist.
    Absent,
    /// The object was last changed at this revision.
    Revision(Revision),
}

/// A change to one object, applied only if the object was not changed in the meantime.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The write or deletion.
    pub edit: Edit,
    /// State the object must be in before the change.
    pub precondition: Precondition,
}

/// The JSON form of a [`Change`]: `{"put": object, "revision": 7}` or
/// `{"delete": {"kind", "name"}, "revision": 7}`; without `revision` the object must not exist.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RawChange {
    /// Object to create or replace.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub put: Option<Object>,
    /// Object to delete.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub delete: Option<ObjectName>,
    /// Revision that the object must have been last changed at.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub revision: Option<Revision>,
}

/// Kind and name of one object.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ObjectName {
    /// Kind of the object.
    pub kind: ObjectKind,
    /// Name of the object, unique within its kind.
    pub name: String,
}

impl TryFrom<RawChange> for Change {
    type Error = InvalidField;

    fn try_from(raw: RawChange) -> Result<Self, InvalidField> {
        let precondition = match raw.revision {
            Some(revision) => Precondition::Revision(revision),
            None => Precondition::Absent,
        };
        let edit = match (raw.put, raw.delete) {
            (Some(object), None) => Edit::Put(object),
            (None, Some(object)) => Edit::Delete(object.kind, object.name),
            _ => {
                return Err(InvalidField::new(
                    "put",
                    "a change has exactly one of `put` and `delete`",
                    "give one of the two",
                ));
            }
        };
        if matches!(edit, Edit::Delete(..)) && precondition == Precondition::Absent {
            return Err(InvalidField::new(
                "revision",
                "a deletion needs the revision of the object",
                "read the object and send its revision",
            ));
        }
        Ok(Self { edit, precondition })
    }
}

impl From<&Change> for RawChange {
    fn from(change: &Change) -> Self {
        let revision = match change.precondition {
            Precondition::Absent => None,
            Precondition::Revision(revision) => Some(revision),
        };
        let (put, delete) = match &change.edit {
            Edit::Put(object) => (Some(object.clone()), None),
            Edit::Delete(kind, name) => {
                let name = name.clone();
                (None, Some(ObjectName { kind: *kind, name }))
            }
        };
        Self {
            put,
            delete,
            revision,
        }
    }
}
