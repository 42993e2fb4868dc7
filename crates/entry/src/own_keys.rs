//! Keys that entry instances write themselves, and how their values are decoded.

use {
    crate::{Item, ItemError, ItemName},
    quarantine::SuspectKey,
};

/// Prefix of the keys of membership records.
const MEMBERS_PREFIX: &str = "rattan/members/";
/// Key of the order lock.
pub(crate) const HOLDER_KEY: &str = "rattan/orders/holder";

/// Key of the highest fencing token. It is bound to no lease.
pub(crate) const FENCING_KEY: &str = "rattan/orders/fencing";

/// Key of the announcement of loading targets.
pub(crate) const LOADING_KEY: &str = "rattan/orders/loading";

/// Prefix of the keys of marks of recent versions.
const RECENT_PREFIX: &str = "rattan/versions/";

/// Prefix of the keys of crashes under calls with a prompt part.
const PART_CRASHES_PREFIX: &str = "rattan/suspects/";

/// Prefix of the keys of crashes under a call.
const CALL_CRASHES_PREFIX: &str = "rattan/suspect-calls/";

/// Prefix of the keys that say that a prompt part was answered.
const ANSWERED_PARTS_PREFIX: &str = "rattan/answered/";

/// Prefix of the keys that say that a call was answered.
const ANSWERED_CALLS_PREFIX: &str = "rattan/answered-calls/";

/// Prefix of the keys of limits that targets state.
const LIMITS_PREFIX: &str = "rattan/limits/";

/// Returns the key of the limit that a target states.
pub(crate) fn limit_key(target: &str) -> String {
    format!("{LIMITS_PREFIX}{target}")
}

/// Returns the key of a crash under a call with a suspect part, or under a suspect call.
pub(crate) fn crash_key(suspect: SuspectKey, crash: &str) -> String {
    match suspect {
        SuspectKey::Part(part) => format!("{PART_CRASHES_PREFIX}{part:016x}/{crash}"),
        SuspectKey::Call(call) => format!("{CALL_CRASHES_PREFIX}{call:016x}/{crash}"),
    }
}

/// Returns the key that says that a suspect part or call was answered.
pub(crate) fn answered_key(suspect: SuspectKey) -> String {
    match suspect {
        SuspectKey::Part(part) => format!("{ANSWERED_PARTS_PREFIX}{part:016x}"),
        SuspectKey::Call(call) => format!("{ANSWERED_CALLS_PREFIX}{call:016x}"),
    }
}

/// Parses the key of a crash or of the word that a suspect was answered.
fn parse_suspect_key(key: &str) -> Option<ItemName> {
    let parse = |hex: &str| u64::from_str_radix(hex, 16).ok();
    if let Some(part) = key.strip_prefix(ANSWERED_PARTS_PREFIX) {
        return Some(ItemName::Answered(SuspectKey::Part(parse(part)?)));
    }
    if let Some(call) = key.strip_prefix(ANSWERED_CALLS_PREFIX) {
        return Some(ItemName::Answered(SuspectKey::Call(parse(call)?)));
    }
    if let Some(crash) = key.strip_prefix(PART_CRASHES_PREFIX) {
        let (part, crash) = crash.split_once('/')?;
        return Some(ItemName::Crash(
            SuspectKey::Part(parse(part)?),
            crash.to_owned(),
        ));
    }
    let (call, crash) = key.strip_prefix(CALL_CRASHES_PREFIX)?.split_once('/')?;
    Some(ItemName::Crash(
        SuspectKey::Call(parse(call)?),
        crash.to_owned(),
    ))
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
    if key == FENCING_KEY {
        return Some(ItemName::Fencing);
    }
    if key == LOADING_KEY {
        return Some(ItemName::Loading);
    }
    if let Some(recent) = key.strip_prefix(RECENT_PREFIX) {
        let (model, version) = recent.rsplit_once('/')?;
        return Some(ItemName::Recent(model.to_owned(), version.parse().ok()?));
    }
    if let Some(suspect) = parse_suspect_key(key) {
        return Some(suspect);
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
        // The next holder replaces a record that can't be read, for which it needs its revision.
        ItemName::Holder => Ok(Item::Holder(
            serde_json::from_slice(value).unwrap_or_default(),
        )),
        ItemName::Fencing => Ok(Item::Fencing(
            serde_json::from_slice(value).unwrap_or_default(),
        )),
        ItemName::Recent(..) => serde_json::from_slice(value).map(Item::Recent),
        ItemName::Crash(suspect, crash) => {
            let record = serde_json::from_slice(value);
            record.map(|record| Item::Crash {
                suspect: *suspect,
                crash: crash.clone(),
                record,
            })
        }
        ItemName::Answered(suspect) => Ok(Item::Answered(*suspect)),
        ItemName::Limit(_) => serde_json::from_slice(value).map(Item::Limit),
        _ => serde_json::from_slice(value).map(Item::Member),
    };
    item.map_err(|error| unreadable(error.to_string()))
}
