//! A change in the key-value service, as one instance passes it on to another.

use {
    bytes::Bytes,
    catalog::Revision,
    keyvalue::{Event, KvPair},
    serde::{Deserialize, Serialize},
};

/// A change of one key of the key-value service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum FollowedEvent {
    /// A key was written.
    Put {
        /// Name of the key.
        key: String,
        /// Value as stored.
        value: Vec<u8>,
        /// Revision at which the key was created.
        create_revision: Revision,
        /// Revision of this change.
        mod_revision: Revision,
    },
    /// A key was deleted at this revision.
    Delete(String, Revision),
}

impl FollowedEvent {
    /// Converts an event of a watch; `None` if it reports only progress.
    #[must_use]
    pub fn from_event(event: &Event) -> Option<Self> {
        match event {
            Event::Put(pair) => Some(Self::Put {
                key: pair.key.clone(),
                value: pair.value.to_vec(),
                create_revision: pair.create_revision,
                mod_revision: pair.mod_revision,
            }),
            Event::Delete(key, revision) => Some(Self::Delete(key.clone(), *revision)),
            Event::Progress(_) => None,
        }
    }

    /// Revision of the change.
    #[must_use]
    pub fn revision(&self) -> Revision {
        match self {
            Self::Put { mod_revision, .. } => *mod_revision,
            Self::Delete(_, revision) => *revision,
        }
    }

    /// Size of key and value.
    #[must_use]
    pub fn bytes_count(&self) -> usize {
        match self {
            Self::Put { key, value, .. } => key.len() + value.len(),
            Self::Delete(key, _) => key.len(),
        }
    }
}

impl From<FollowedEvent> for Event {
    fn from(event: FollowedEvent) -> Self {
        match event {
            FollowedEvent::Put {
                key,
                value,
                create_revision,
                mod_revision,
            } => Self::Put(KvPair {
                key,
                value: Bytes::from(value),
                create_revision,
                mod_revision,
            }),
            FollowedEvent::Delete(key, revision) => Self::Delete(key, revision),
        }
    }
}
