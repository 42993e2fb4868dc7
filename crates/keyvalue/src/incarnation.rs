//! Incarnations of the key-value service: which answers belong to the same history of changes.

use {
    crate::KvError,
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

#[derive(Debug, Default)]
struct Named {
    /// Whether there was an answer.
    has_answer: bool,
    number: Option<u64>,
    /// Last value that was no number, since the number last changed.
    malformed: Option<String>,
}

/// Finds out from the answers of the service when a new incarnation begins.
#[derive(Debug, Default)]
pub struct IncarnationTracker {
    named: Mutex<Named>,
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
        let mut named = self.lock();
        match answered {
            NamedIncarnation::Missing => {}
            NamedIncarnation::Number(number) => self.observe_number(&mut named, number, sent_in),
            NamedIncarnation::Malformed(text) => {
                if named.malformed.as_deref() != Some(text) {
                    log::error!(
                        "the key-value service names its incarnation {text:?}, which is not a whole \
                         number; taken as a new incarnation, check the service"
                    );
                    named.malformed = Some(text.to_owned());
                    self.change(None);
                }
            }
        }
        named.has_answer = true;
        drop(named);
        self.require(sent_in)
    }

    fn observe_number(&self, named: &mut Named, number: u64, sent_in: Incarnation) {
        let Some(known) = named.number else {
            named.number = Some(number);
            if named.has_answer {
                self.change(Some(number));
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
        *named = Named {
            number: Some(number),
            ..Named::default()
        };
        self.change(Some(number));
    }

    fn change(&self, number: Option<u64>) {
        self.current.send_modify(|current| {
            current.changes_count += 1;
            if let Some(number) = number {
                current.name(number);
            }
        });
    }

    fn lock(&self) -> MutexGuard<'_, Named> {
        self.named.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Incarnation {
    fn name(&mut self, number: u64) {
        self.number = number;
        self.highest_number = self.highest_number.max(number);
    }
}
