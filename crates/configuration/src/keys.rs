//! Keys under which the key-value service stores the configuration.

use catalog::{ObjectKind, Revision};

/// Prefix of every key of the configuration.
pub const CONFIG_PREFIX: &str = "/rattan/config/";
/// Key that holds the id of the last accepted change. Every change writes it on condition that it
/// is unmodified, so that two concurrent changes, each valid on its own, cannot both be committed.
/// Reading this one key also shows whether anything changed.
pub const LAST_CHANGE_KEY: &str = "/rattan/config/last_change";

/// Revision that represents a key that does not exist.
pub(crate) const ABSENT: Revision = 0;

/// Key of one object.
#[must_use]
pub fn object_key(kind: ObjectKind, name: &str) -> String {
    format!("{CONFIG_PREFIX}{kind}/{name}")
}

/// Key of the record of a change.
#[must_use]
pub fn change_key(change_id: &str) -> String {
    format!("/rattan/change/{change_id}")
}

/// Kind and name of the object at a key; `None` if the key does not belong to an object.
#[must_use]
pub fn parse_object_key(key: &str) -> Option<(ObjectKind, &str)> {
    let (kind, name) = key.strip_prefix(CONFIG_PREFIX)?.split_once('/')?;
    Some((kind.parse().ok()?, name))
}
