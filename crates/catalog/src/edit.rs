//! One change of the configuration.

use crate::{Object, ObjectKind};

/// Writes or deletes one object.
#[derive(Clone, Debug, PartialEq)]
pub enum Edit {
    /// Creates or replaces an object.
    Put(Object),
    /// Deletes the object with this kind and name.
    Delete(ObjectKind, String),
}

impl Edit {
    /// Kind of the object.
    #[must_use]
    pub fn kind(&self) -> ObjectKind {
        match self {
            Self::Put(object) => object.kind(),
            Self::Delete(kind, _) => *kind,
        }
    }

    /// Name of the object.
    #[must_use]
    pub fn name(&self) -> &str {
        match self {
            Self::Put(object) => object.name(),
            Self::Delete(_, name) => name,
        }
    }
}
