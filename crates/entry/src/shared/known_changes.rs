//! Changes of the known state, and what the log says of them.

use {
    super::Shared,
    crate::{Item, ItemName, KnownState},
    catalog::Revision,
    eventlog::Event,
    quarantine::{CrashId, SuspectKey},
    relay::boot_time,
    routes::RouteConfig,
};

impl<Kv, Format> Shared<Kv, Format> {
    /// Applies an item of the key-value service to the known state.
    pub(crate) fn put(&self, name: &ItemName, item: Item, revision: Revision) {
        if let Item::Configuration(config) = &item {
            self.log_homes_errors(config);
        }
        self.update_suspect(item_suspect(name), |known| {
            known.put(item_id(name), item, revision, boot_time());
        });
    }

    /// Logs what is wrong with the homes of a configuration that is new.
    fn log_homes_errors(&self, config: &RouteConfig) {
        let known = self.known().table().map(|table| table.config().version);
        if known.is_some_and(|known| known >= config.version) {
            return;
        }
        for error in config.check_homes(&self.settings.regions) {
            log::error!("configuration {}: {error}", config.version);
        }
    }

    /// Applies the deletion of an item to the known state.
    pub(crate) fn delete(&self, name: &ItemName) {
        self.update_suspect(item_suspect(name), |known| known.delete(name, boot_time()));
    }

    /// Applies to the known state that an item was replaced by something that is none.
    pub(crate) fn remove(&self, name: &ItemName) {
        self.update_suspect(item_suspect(name), |known| known.remove(name, boot_time()));
    }

    /// Records that a target crashed before it began to answer a call with a suspect part, or a
    /// suspect call.
    pub(crate) fn note_crash(&self, suspect: SuspectKey, label: &str, crash: &str) {
        self.update_suspect(Some(suspect), |known| {
            known.add_crash(suspect, label, crash);
        });
    }

    /// Changes the known state, and logs if that changes what is known of a suspect.
    fn update_suspect<Change>(&self, key: Option<SuspectKey>, change: Change)
    where
        Change: FnOnce(&mut KnownState),
    {
        let mut known = self.known();
        let Some(key) = key else {
            return change(&mut known);
        };
        let before = suspect_state(&known, key);
        let label_before = suspect_label(&known, key);
        change(&mut known);
        let after = suspect_state(&known, key);
        if before == after {
            return;
        }
        let suspect = known.quarantine().suspect(key);
        let crashes: Vec<CrashId> = suspect
            .iter()
            .flat_map(|suspect| suspect.crashes.iter().cloned())
            .collect();
        if after == "answered" && crashes.is_empty() {
            // A listing delivers these records before those of the crashes.
            return;
        }
        let label = suspect_label(&known, key).or(label_before);
        drop(known);
        self.log_suspect(key, label.unwrap_or_default(), after, crashes);
    }

    /// Counts and logs that the state of a suspect has changed.
    fn log_suspect(
        &self,
        key: SuspectKey,
        label: String,
        state: &'static str,
        crashes: Vec<CrashId>,
    ) {
        match key {
            SuspectKey::Part(_) => {
                self.meters.count("suspect_parts", state);
                self.log.emit(&Event::SuspectPart {
                    part: label,
                    state,
                    crashes,
                });
            }
            SuspectKey::Call(call_key) => {
                self.meters.count("suspect_calls", state);
                self.log.emit(&Event::SuspectCall {
                    call: label,
                    call_key: format!("{call_key:016x}"),
                    state,
                    crashes,
                });
            }
        }
    }
}

/// The suspect that an item is about, if any.
fn item_suspect(name: &ItemName) -> Option<SuspectKey> {
    match name {
        ItemName::Crash(suspect, _) | ItemName::Answered(suspect) => Some(*suspect),
        _ => None,
    }
}

/// What is known of a suspect, as the log names it.
fn suspect_state(known: &KnownState, key: SuspectKey) -> &'static str {
    let quarantine = known.quarantine();
    match quarantine.suspect(key) {
        None => "released",
        Some(suspect) if suspect.is_answered => "answered",
        Some(_) if quarantine.is_quarantined(key) => "quarantined",
        Some(_) => "suspected",
    }
}

/// Name that the log gives to a suspect; `None` if it is not known.
fn suspect_label(known: &KnownState, key: SuspectKey) -> Option<String> {
    let suspect = known.quarantine().suspect(key)?;
    Some(suspect.label.clone()).filter(|label| !label.is_empty())
}

/// Returns the id in an item's name, or an empty string if the name has none.
fn item_id(name: &ItemName) -> &str {
    match name {
        ItemName::Version(id)
        | ItemName::Target(id)
        | ItemName::Member(id)
        | ItemName::Limit(id)
        | ItemName::Evacuation(id)
        | ItemName::Recent(id, _) => id,
        ItemName::Configuration
        | ItemName::Holder
        | ItemName::Fencing
        | ItemName::Loading
        | ItemName::Crash(..)
        | ItemName::Answered(_) => "",
    }
}
