//! A change to one object of the configuration.

use crate::{Object, ObjectKind};

/// A write or deletion of one object.
#[derive(Clone, Debug, PartialEq)]
pub enum Edit {
    /// Creates or replaces an object.
    Put(Object),
    /// Deletes the object with this kind and name.
    Delete(ObjectKind, String),
}

impl Edit {
    /// Kind of the changed object.
    #[must_use]
    pub fn kind(&self) -> ObjectKind {
        match self {
            Self::Put(object) => object.kind(),
            Self::Delete(kind, _) => *kind,
        }
    }

    /// Name of the changed object.
    #[must_use]
    pub fn name(&self) -> &str {
        match self {
            Self::Put(object) => object.name(),
            Self::Delete(_, name) => name,
        }
    }
}
