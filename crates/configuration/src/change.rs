//! What an operator asks the writer to do.

use {
    catalog::{Edit, InvalidField, Object, ObjectKind, Revision},
    serde::{Deserialize, Serialize},
};

/// Id of one change, chosen by whoever asks for it; asking twice with one id applies once.
pub type ChangeId = String;

/// What the writer expects an object to be before its change.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Precondition {
    /// There is no such object.
    Absent,
    /// The object was last changed at this revision.
    Revision(Revision),
}

/// One object's change, under the condition that nobody changed the object meanwhile.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// What to do.
    pub edit: Edit,
    /// What the object must be before.
    pub precondition: Precondition,
}

/// The JSON form of a [`Change`]: `{"put": object, "revision": 7}` or
/// `{"delete": {"kind", "name"}, "revision": 7}`; without `revision` the object must be absent.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RawChange {
    /// Object to create or replace.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub put: Option<Object>,
    /// Object to delete.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub delete: Option<ObjectName>,
    /// Revision that the object must have.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub revision: Option<Revision>,
}

/// Kind and name of one object.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ObjectName {
    /// Kind.
    pub kind: ObjectKind,
    /// Name.
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
                    "a change holds either `put` or `delete`",
                    "give one of the two",
                ));
            }
        };
        if matches!(edit, Edit::Delete(..)) && precondition == Precondition::Absent {
            return Err(InvalidField::new(
                "revision",
                "a deletion needs the revision of the object",
                "read the object and state its revision",
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
