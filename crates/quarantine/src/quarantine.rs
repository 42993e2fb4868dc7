//! The parts under suspicion, and which calls they block.

use {
    crate::Suspect,
    parts::PartKey,
    std::{collections::HashMap, time::Duration},
};

/// Number of crashes at which a part is quarantined. Two crashes can hit an unlucky call and its
/// retry.
pub const QUARANTINE_CRASHES_COUNT: usize = 3;
/// Number of crashes at which a call is not sent again after a target crashed under it.
const NO_RETRY_CRASHES_COUNT: usize = 2;
/// Number of crashes that are recorded of one part.
const MAX_CRASHES_COUNT: usize = 8;

/// Parts that may crash targets, with the crashes that speak against them.
///
/// The key of a part does not contain the model or the client account, since the part crashes
/// targets whatever else the call contains.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Quarantine {
    suspects: HashMap<PartKey, Suspect>,
}

impl Quarantine {
    /// Records that a target crashed before it began to answer a call with `part`, whose id is
    /// `part_id`.
    pub fn add_crash(&mut self, part: PartKey, part_id: &str, crash: &str) {
        let suspect = self.suspects.entry(part).or_default();
        part_id.clone_into(&mut suspect.part_id);
        suspect.crashes.insert(crash.to_owned());
    }

    /// Withdraws a crash, because its record has expired.
    pub fn remove_crash(&mut self, part: PartKey, crash: &str) {
        if let Some(suspect) = self.suspects.get_mut(&part) {
            suspect.crashes.remove(crash);
        }
        self.forget_if_empty(part);
    }

    /// Records whether a target began an answer on `part`.
    pub fn set_answered(&mut self, part: PartKey, is_answered: bool) {
        self.suspects.entry(part).or_default().is_answered = is_answered;
        self.forget_if_empty(part);
    }

    /// Records that a record of `part` was written at `now`.
    pub fn set_written(&mut self, part: PartKey, now: Duration) {
        if let Some(suspect) = self.suspects.get_mut(&part) {
            suspect.written_at = now;
        }
    }

    /// All parts under suspicion, including those that were answered since.
    pub fn suspects(&self) -> impl Iterator<Item = (PartKey, &Suspect)> {
        self.suspects.iter().map(|(part, suspect)| (*part, suspect))
    }

    /// The part, if it is under suspicion or was.
    #[must_use]
    pub fn suspect(&self, part: PartKey) -> Option<&Suspect> {
        self.suspects.get(&part)
    }

    /// Whether no part is under suspicion.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Number of crashes that speak against `part`; 0 once a target began an answer on it.
    #[must_use]
    pub fn crashes_count(&self, part: PartKey) -> usize {
        let suspect = self.suspects.get(&part);
        let suspect = suspect.filter(|suspect| !suspect.is_answered);
        suspect.map_or(0, |suspect| suspect.crashes.len())
    }

    /// Whether `crash` is news about `part` that should be recorded.
    #[must_use]
    pub fn lacks_crash(&self, part: PartKey, crash: &str) -> bool {
        self.suspects.get(&part).is_none_or(|suspect| {
            !suspect.is_answered
                && suspect.crashes.len() < MAX_CRASHES_COUNT
                && !suspect.crashes.contains(crash)
        })
    }

    /// Whether a call with these parts must not be sent again after a target crashed under it.
    #[must_use]
    pub fn forbids_retry(&self, parts: &[PartKey]) -> bool {
        let mut counts = parts.iter().map(|part| self.crashes_count(*part));
        counts.any(|count| count >= NO_RETRY_CRASHES_COUNT)
    }

    /// The quarantined part because of which a call with these parts must be refused.
    ///
    /// A quarantined part does not block a call if another one that the call lacks was there at all
    /// of its crashes. The call then shows which of the two is at fault.
    #[must_use]
    pub fn blocking_part(&self, parts: &[PartKey]) -> Option<PartKey> {
        if self.is_empty() {
            return None;
        }
        let mut quarantined = parts.iter().copied().filter(|it| self.is_quarantined(*it));
        quarantined.find(|part| !self.is_explained_without(*part, parts))
    }

    /// Whether `part` is quarantined. Calls with it can still be allowed, see
    /// [`Quarantine::blocking_part`].
    #[must_use]
    pub fn is_quarantined(&self, part: PartKey) -> bool {
        self.crashes_count(part) >= QUARANTINE_CRASHES_COUNT
    }

    /// Whether a quarantined part that is not in `parts` was there at all crashes of `part`.
    fn is_explained_without(&self, part: PartKey, parts: &[PartKey]) -> bool {
        let crashes = &self.suspects[&part].crashes;
        self.suspects.iter().any(|(other, suspect)| {
            !parts.contains(other)
                && self.is_quarantined(*other)
                && crashes.is_subset(&suspect.crashes)
        })
    }

    fn forget_if_empty(&mut self, part: PartKey) {
        let is_empty = |suspect: &Suspect| suspect.crashes.is_empty() && !suspect.is_answered;
        if self.suspects.get(&part).is_some_and(is_empty) {
            self.suspects.remove(&part);
        }
    }
}
