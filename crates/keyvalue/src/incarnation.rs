//! Incarnations of the key-value service: which answers belong to the same history of changes.

use {
    crate::KvError,
    catalog::Revision,
    std::sync::{Mutex, MutexGuard, PoisonError},
    tokio::sync::watch,
};

/// An incarnation of the service, as one client sees it. A new one begins when the service comes back
/// from an older copy of its data. Revisions and leases mean something only within one.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Incarnation {
    /// Number that the service names; 0 if it names none.
    pub number: u64,
    /// Highest number that the service has named to this client.
    pub highest_number: u64,
    /// Number of changes that this client has noticed.
    pub changes_count: u64,
    /// What showed that this incarnation began, if the service did not name it.
    pub fall: Option<RevisionFall>,
}

/// A revision that was answered to a call that was sent after a higher one was known. Answers never go back, so
/// the service came back from an older copy between the two.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RevisionFall {
    /// Highest revision that was known when the call was sent.
    pub known: Revision,
    /// Revision of the service in the answer.
    pub answered: Revision,
}

impl Incarnation {
    /// Whether revisions and leases of this incarnation hold in `other` too.
    #[must_use]
    pub fn is_same(&self, other: &Self) -> bool {
        self.changes_count == other.changes_count
    }
}

/// What an answer says of the incarnation that gave it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NamedIncarnation<'text> {
    /// Nothing, as services do that never come back from a copy.
    Missing,
    /// Its number.
    Number(u64),
    /// Something that is no number.
    Malformed(&'text str),
}

impl<'text> From<Option<&'text str>> for NamedIncarnation<'text> {
    fn from(text: Option<&'text str>) -> Self {
        match text {
            None => Self::Missing,
            Some(text) => text.parse().map_or(Self::Malformed(text), Self::Number),
        }
    }
}

/// What the answers of the present incarnation have told.
#[derive(Debug, Default)]
struct Answers {
    /// Whether there was an answer.
    has_answer: bool,
    number: Option<u64>,
    /// Last value that was no number, since the number last changed.
    malformed: Option<String>,
    /// Highest revision that the service is known to have reached.
    highest_revision: Revision,
}

/// Finds out from the answers of the service when a new incarnation begins.
#[derive(Debug, Default)]
pub struct IncarnationTracker {
    answers: Mutex<Answers>,
    current: watch::Sender<Incarnation>,
}

impl IncarnationTracker {
    /// The incarnation that the client knows of. Read it before each call.
    #[must_use]
    pub fn current(&self) -> Incarnation {
        *self.current.borrow()
    }

    /// Returns a receiver that is notified of each new incarnation.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Incarnation> {
        self.current.subscribe()
    }

    /// Fails unless `known` is still the current incarnation.
    ///
    /// # Errors
    /// [`KvError::Restored`] if another one has begun.
    pub fn require(&self, known: Incarnation) -> Result<(), KvError> {
        let current = self.current();
        if current.is_same(&known) {
            return Ok(());
        }
        Err(KvError::Restored {
            number: current.number,
        })
    }

    /// Highest revision that the service is known to have reached in `incarnation`; 0 if that is not the current
    /// one. Read it before each call whose answer is passed to [`Self::observe_revision`].
    #[must_use]
    pub fn highest_revision(&self, incarnation: Incarnation) -> Revision {
        let answers = self.lock();
        if self.require(incarnation).is_err() {
            return 0;
        }
        answers.highest_revision
    }

    /// Takes note that the service has reached `revision` in `incarnation`. An answer that says so may be late.
    pub fn note_revision(&self, revision: Revision, incarnation: Incarnation) {
        let mut answers = self.lock();
        if self.require(incarnation).is_ok() {
            answers.highest_revision = answers.highest_revision.max(revision);
        }
    }

    /// Takes note of the service's own revision in the answer to a call that was sent in `sent_in`, when the
    /// service was known to have reached the revision `known`. Only for calls that are answered from the latest
    /// state: a lower revision begins a new incarnation.
    ///
    /// # Errors
    /// [`KvError::Restored`] as for [`Self::observe`].
    pub fn observe_revision(
        &self,
        answered: Revision,
        known: Revision,
        sent_in: Incarnation,
    ) -> Result<(), KvError> {
        let mut answers = self.lock();
        self.require(sent_in)?;
        if answered >= known {
            answers.highest_revision = answers.highest_revision.max(answered);
            return Ok(());
        }
        log::error!(
            "the key-value service answered with revision {answered} to a call that was sent after it had \
             reached {known}, and named no other incarnation; taken as a return from an older copy"
        );
        let fall = RevisionFall { known, answered };
        self.change(&mut answers, None, Some(fall));
        drop(answers);
        self.require(sent_in)
    }

    /// Takes note of the incarnation named in the answer to a call that was sent in `sent_in`.
    ///
    /// # Errors
    /// [`KvError::Restored`] if the answer, or one to another call meanwhile, brought the news of a new
    /// incarnation. Its content must not be used.
    pub fn observe(
        &self,
        answered: NamedIncarnation<'_>,
        sent_in: Incarnation,
    ) -> Result<(), KvError> {
        let mut answers = self.lock();
        match answered {
            NamedIncarnation::Missing => {}
            NamedIncarnation::Number(number) => self.observe_number(&mut answers, number, sent_in),
            NamedIncarnation::Malformed(text) => {
                if answers.malformed.as_deref() != Some(text) {
                    log::error!(
                        "the key-value service names its incarnation {text:?}, which is not a whole \
                         number; taken as a new incarnation, check the service"
                    );
                    answers.malformed = Some(text.to_owned());
                    self.change(&mut answers, None, None);
                }
            }
        }
        answers.has_answer = true;
        drop(answers);
        self.require(sent_in)
    }

    fn observe_number(&self, answers: &mut Answers, number: u64, sent_in: Incarnation) {
        let Some(known) = answers.number else {
            answers.number = Some(number);
            if answers.has_answer {
                self.change(answers, Some(number), None);
            } else {
                self.current.send_modify(|current| current.name(number));
            }
            return;
        };
        // The answer of an earlier incarnation to a call that was sent before this client learned of
        // the present one.
        let is_late = number < known && number >= sent_in.number;
        if number == known || is_late {
            return;
        }
        if number < known {
            log::error!(
                "the key-value service names incarnation {number} after {known}; taken as a new \
                 incarnation, check whether another service answers at its address"
            );
        }
        *answers = Answers {
            number: Some(number),
            ..Answers::default()
        };
        self.change(answers, Some(number), None);
    }

    /// Begins a new incarnation, of which no more is known than the revision that showed it.
    fn change(&self, answers: &mut Answers, number: Option<u64>, fall: Option<RevisionFall>) {
        answers.highest_revision = fall.map_or(0, |fall| fall.answered);
        self.current.send_modify(|current| {
            current.changes_count += 1;
            current.fall = fall;
            if let Some(number) = number {
                current.name(number);
            }
        });
    }

    fn lock(&self) -> MutexGuard<'_, Answers> {
        self.answers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Incarnation {
    fn name(&mut self, number: u64) {
        self.number = number;
        self.highest_number = self.highest_number.max(number);
    }
}
