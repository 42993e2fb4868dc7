//! What an operator asks the writer to do.

use {
    catalog::{Edit, Invalid, Object, ObjectKind, Revision, Warning},
    serde::{Deserialize, Serialize},
    snafu::Snafu,
};

/// Id of one change, chosen by whoever asks for it; asking twice with one id applies once.
pub type ChangeId = String;

/// What the writer expects an object to be before its change.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Expected {
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
    pub expected: Expected,
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
    type Error = Invalid;

    fn try_from(raw: RawChange) -> Result<Self, Invalid> {
        let expected = match raw.revision {
            Some(revision) => Expected::Revision(revision),
            None => Expected::Absent,
        };
        let edit = match (raw.put, raw.delete) {
            (Some(object), None) => Edit::Put(object),
            (None, Some(object)) => Edit::Delete(object.kind, object.name),
            _ => {
                return Err(Invalid::new(
                    "put",
                    "a change holds either `put` or `delete`",
                    "give one of the two",
                ));
            }
        };
        if matches!(edit, Edit::Delete(..)) && expected == Expected::Absent {
            return Err(Invalid::new(
                "revision",
                "a deletion needs the revision of the object",
                "read the object and state its revision",
            ));
        }
        Ok(Self { edit, expected })
    }
}

impl From<&Change> for RawChange {
    fn from(change: &Change) -> Self {
        let revision = match change.expected {
            Expected::Absent => None,
            Expected::Revision(revision) => Some(revision),
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

/// A change that is committed and will be in force everywhere.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Accepted {
    /// Revision at which the change was committed; an instance whose configuration has this
    /// revision or a higher one has the change in force.
    pub revision: Revision,
    /// Names of model versions that were deactivated because another one was activated.
    pub deactivated: Vec<String>,
    /// What is allowed but probably a mistake.
    pub warnings: Vec<Warning>,
}

/// A change was not accepted, or it is not known whether it was.
#[derive(Clone, Debug, PartialEq, Snafu)]
#[snafu(visibility(pub))]
pub enum ApplyError {
    /// Somebody else changed the object; nothing was applied.
    #[snafu(display(
        "{kind} {name} is at revision {current} (0: absent), not at the one stated; read it again and \
         repeat the change"
    ))]
    Conflict {
        /// Kind of the object.
        kind: ObjectKind,
        /// Name of the object.
        name: String,
        /// Its revision now; 0 if there is no such object.
        current: Revision,
    },
    /// The configuration would not be valid; nothing was applied.
    #[snafu(display("{source}"))]
    Invalid {
        /// The field, the problem and the remedy.
        source: Invalid,
    },
    /// One transaction can't hold the change; nothing was applied.
    #[snafu(display(
        "the change writes {keys_count} keys and {value_bytes} bytes, one transaction holds \
         {max_keys_count} and {max_value_bytes}; allow parts (--in-parts) or use smaller files"
    ))]
    TooLarge {
        /// Keys that the change writes.
        keys_count: usize,
        /// Bytes of their values.
        value_bytes: usize,
        /// Most keys of one transaction.
        max_keys_count: usize,
        /// Most bytes of one transaction.
        max_value_bytes: usize,
    },
    /// This call applied nothing. An earlier call with the same change id, if its answer is
    /// missing, may have.
    #[snafu(display("not applied: {reason}; try again in a few seconds"))]
    NotApplied {
        /// What happened.
        reason: String,
    },
    /// The change was not applied and never will be.
    #[snafu(display(
        "not applied: the answer was lost and change {change_id} was given up; repeat the change \
         with a new change id"
    ))]
    Abandoned {
        /// The change that will never take effect.
        change_id: ChangeId,
    },
    /// The change may have been applied.
    #[snafu(display(
        "it is not known whether change {change_id} was applied: {reason}; repeat it with the same \
         change id, which applies it at most once"
    ))]
    Unknown {
        /// The change to repeat or ask about.
        change_id: ChangeId,
        /// What happened.
        reason: String,
    },
    /// Earlier parts were applied, this one was not.
    #[snafu(display("part {part} of {parts_count} (earlier parts are applied): {source}"))]
    Part {
        /// The part that failed, from 1.
        part: usize,
        /// All parts.
        parts_count: usize,
        /// Why.
        #[snafu(source(from(ApplyError, Box::new)))]
        source: Box<ApplyError>,
    },
}
