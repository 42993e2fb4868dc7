//! The parts and calls under suspicion, and which calls they block.

use {
    crate::{Suspect, SuspectKey},
    std::{collections::HashMap, time::Duration},
};

/// Number of crashes at which a part or call is quarantined. Two crashes can hit an unlucky call and its
/// retry.
pub const QUARANTINE_CRASHES_COUNT: usize = 3;
/// Number of crashes at which a call is not sent again after a target crashed under it.
const NO_RETRY_CRASHES_COUNT: usize = 2;
/// Number of crashes that are recorded of one part or call.
const MAX_CRASHES_COUNT: usize = 8;

/// Parts and calls that may crash targets, with the crashes that speak against them.
///
/// The key of a part does not contain the model or the client account, since the part crashes
/// targets whatever else the call contains.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Quarantine {
    suspects: HashMap<SuspectKey, Suspect>,
}

impl Quarantine {
    /// Records that a target crashed before it began to answer a call with the part `key`, or the
    /// call `key`.
    pub fn add_crash(&mut self, key: SuspectKey, label: &str, crash: &str) {
        let suspect = self.suspects.entry(key).or_default();
        label.clone_into(&mut suspect.label);
        suspect.crashes.insert(crash.to_owned());
    }

    /// Withdraws a crash, because its record has expired.
    pub fn remove_crash(&mut self, key: SuspectKey, crash: &str) {
        if let Some(suspect) = self.suspects.get_mut(&key) {
            suspect.crashes.remove(crash);
        }
        self.forget_if_empty(key);
    }

    /// Records whether a target began an answer on the part or to the call.
    pub fn set_answered(&mut self, key: SuspectKey, is_answered: bool) {
        self.suspects.entry(key).or_default().is_answered = is_answered;
        self.forget_if_empty(key);
    }

    /// Records that a record of the part or call was written at `now`.
    pub fn set_written(&mut self, key: SuspectKey, now: Duration) {
        if let Some(suspect) = self.suspects.get_mut(&key) {
            suspect.written_at = now;
        }
    }

    /// All parts and calls under suspicion, including those that were answered since.
    pub fn suspects(&self) -> impl Iterator<Item = (SuspectKey, &Suspect)> {
        self.suspects.iter().map(|(key, suspect)| (*key, suspect))
    }

    /// The part or call, if it is under suspicion or was.
    #[must_use]
    pub fn suspect(&self, key: SuspectKey) -> Option<&Suspect> {
        self.suspects.get(&key)
    }

    /// Whether nothing is under suspicion.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Whether any call is under suspicion, rather than parts only.
    #[must_use]
    pub fn has_calls(&self) -> bool {
        let mut keys = self.suspects.keys();
        keys.any(|key| matches!(key, SuspectKey::Call(_)))
    }

    /// Number of crashes that speak against the part or call; 0 once a target began an answer.
    #[must_use]
    pub fn crashes_count(&self, key: SuspectKey) -> usize {
        let suspect = self.suspects.get(&key);
        let suspect = suspect.filter(|suspect| !suspect.is_answered);
        suspect.map_or(0, |suspect| suspect.crashes.len())
    }

    /// Whether `crash` is news about the part or call that should be recorded.
    #[must_use]
    pub fn lacks_crash(&self, key: SuspectKey, crash: &str) -> bool {
        self.suspects.get(&key).is_none_or(|suspect| {
            !suspect.is_answered
                && suspect.crashes.len() < MAX_CRASHES_COUNT
                && !suspect.crashes.contains(crash)
        })
    }

    /// Whether a call with these keys must not be sent again after a target crashed under it.
    #[must_use]
    pub fn forbids_retry(&self, keys: &[SuspectKey]) -> bool {
        let mut counts = keys.iter().map(|key| self.crashes_count(*key));
        counts.any(|count| count >= NO_RETRY_CRASHES_COUNT)
    }

    /// The quarantined one of a call's `keys` because of which the call must be refused.
    ///
    /// A quarantined part or call does not block if another suspect that the call lacks was there at
    /// all of its crashes. The call then shows which of the two is at fault. It must not be sent while a
    /// crash of that suspect is not counted yet, since it shows nothing more until then.
    #[must_use]
    pub fn blocking_suspect(&self, keys: &[SuspectKey]) -> Option<SuspectKey> {
        let mut quarantined = keys.iter().copied().filter(|it| self.is_quarantined(*it));
        quarantined.find(|key| !self.is_explained_without(*key, keys))
    }

    /// Whether the part or call is quarantined. Calls with it can still be allowed, see
    /// [`Quarantine::blocking_suspect`].
    #[must_use]
    pub fn is_quarantined(&self, key: SuspectKey) -> bool {
        self.crashes_count(key) >= QUARANTINE_CRASHES_COUNT
    }

    /// Whether a quarantined suspect that is not in `keys` was there at all crashes of `key`.
    fn is_explained_without(&self, key: SuspectKey, keys: &[SuspectKey]) -> bool {
        let crashes = &self.suspects[&key].crashes;
        self.suspects.iter().any(|(other, suspect)| {
            !keys.contains(other)
                && self.is_quarantined(*other)
                && crashes.is_subset(&suspect.crashes)
        })
    }

    fn forget_if_empty(&mut self, key: SuspectKey) {
        let is_empty = |suspect: &Suspect| suspect.crashes.is_empty() && !suspect.is_answered;
        if self.suspects.get(&key).is_some_and(is_empty) {
            self.suspects.remove(&key);
        }
    }
}
