//! Keys that entry instances write themselves, and how their values are decoded.

use {
    crate::{Item, ItemError, ItemName},
    parts::PartKey,
};

/// Prefix of the keys of membership records.
const MEMBERS_PREFIX: &str = "rattan/members/";
/// Key of the order lock.
pub(crate) const HOLDER_KEY: &str = "rattan/orders/holder";

/// Key of the announcement of loading targets.
pub(crate) const LOADING_KEY: &str = "rattan/orders/loading";

/// Prefix of the keys of marks of recent versions.
const RECENT_PREFIX: &str = "rattan/versions/";

/// Prefix of the keys of crashes under calls with a prompt part.
const CRASHES_PREFIX: &str = "rattan/suspects/";

/// Prefix of the keys that say that a prompt part was answered.
const ANSWERED_PREFIX: &str = "rattan/answered/";

/// Prefix of the keys of limits that targets state.
const LIMITS_PREFIX: &str = "rattan/limits/";

/// Returns the key of the limit that a target states.
pub(crate) fn limit_key(target: &str) -> String {
    format!("{LIMITS_PREFIX}{target}")
}

/// Returns the key of a crash under a call with `part`.
pub(crate) fn crash_key(part: PartKey, crash: &str) -> String {
    format!("{CRASHES_PREFIX}{part:016x}/{crash}")
}

/// Returns the key that says that `part` was answered.
pub(crate) fn answered_key(part: PartKey) -> String {
    format!("{ANSWERED_PREFIX}{part:016x}")
}

/// Returns the key of the mark of a recent version.
pub(crate) fn recent_key(model: &str, version: u64) -> String {
    format!("{RECENT_PREFIX}{model}/{version}")
}

/// Returns the key of an instance's membership record.
pub(crate) fn member_key(instance: &str) -> String {
    format!("{MEMBERS_PREFIX}{instance}")
}

/// Parses a key that entry instances write themselves; `None` if it is not such a key.
pub(crate) fn parse_own_key(key: &str) -> Option<ItemName> {
    if key == HOLDER_KEY {
        return Some(ItemName::Holder);
    }
    if key == LOADING_KEY {
        return Some(ItemName::Loading);
    }
    if let Some(recent) = key.strip_prefix(RECENT_PREFIX) {
        let (model, version) = recent.rsplit_once('/')?;
        return Some(ItemName::Recent(model.to_owned(), version.parse().ok()?));
    }
    if let Some(crash) = key.strip_prefix(CRASHES_PREFIX) {
        let (part, crash) = crash.split_once('/')?;
        let part = PartKey::from_str_radix(part, 16).ok()?;
        return Some(ItemName::Crash(part, crash.to_owned()));
    }
    if let Some(part) = key.strip_prefix(ANSWERED_PREFIX) {
        let part = PartKey::from_str_radix(part, 16).ok()?;
        return Some(ItemName::Answered(part));
    }
    if let Some(target) = key.strip_prefix(LIMITS_PREFIX) {
        return Some(ItemName::Limit(target.to_owned()));
    }
    let instance = key.strip_prefix(MEMBERS_PREFIX)?;
    Some(ItemName::Member(instance.to_owned()))
}

/// Decodes an item that entry instances write themselves.
pub(crate) fn parse_own_item(name: &ItemName, key: &str, value: &[u8]) -> Result<Item, ItemError> {
    let unreadable = |problem: String| ItemError {
        key: key.to_owned(),
        problem,
    };
    let item = match name {
        ItemName::Loading => serde_json::from_slice(value).map(Item::Loading),
        ItemName::Holder => serde_json::from_slice(value).map(Item::Holder),
        ItemName::Recent(..) => serde_json::from_slice(value).map(Item::Recent),
        ItemName::Crash(part, crash) => {
            let record = serde_json::from_slice(value);
            record.map(|record| Item::Crash {
                part: *part,
                crash: crash.clone(),
                record,
            })
        }
        ItemName::Answered(part) => Ok(Item::Answered(*part)),
        ItemName::Limit(_) => serde_json::from_slice(value).map(Item::Limit),
        _ => serde_json::from_slice(value).map(Item::Member),
    };
    item.map_err(|error| unreadable(error.to_string()))
}
