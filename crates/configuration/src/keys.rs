//! Keys of the configuration at the key-value service.

use catalog::{ObjectKind, Revision};

/// Every key of the configuration starts with this.
pub const CONFIG_PREFIX: &str = "/rattan/config/";
/// Written by every accepted change, so that two changes can't be accepted side by side on states
/// that were checked apart, and so that one small read tells whether anything changed.
pub const LAST_CHANGE_KEY: &str = "/rattan/config/last_change";

/// Revision that stands for a key that does not exist.
pub(crate) const ABSENT: Revision = 0;

/// Key of one object.
#[must_use]
pub fn object_key(kind: ObjectKind, name: &str) -> String {
    format!("{CONFIG_PREFIX}{kind}/{name}")
}

/// Key that records what became of a change.
#[must_use]
pub fn change_key(change_id: &str) -> String {
    format!("/rattan/change/{change_id}")
}

/// Kind and name of the object at a key; none if the key is not an object's.
#[must_use]
pub fn parse_object_key(key: &str) -> Option<(ObjectKind, &str)> {
    let (kind, name) = key.strip_prefix(CONFIG_PREFIX)?.split_once('/')?;
    Some((kind.parse().ok()?, name))
}
