//! The incarnation of the key-value service that an instance works in, and how it takes a new one.

use {
    eventlog::Event,
    keyvalue::{Incarnation, RevisionFall},
    relay::boot_time,
    std::time::Duration,
    tokio::sync::watch::Receiver,
};

/// The incarnation that this instance works in.
pub(crate) struct KnownIncarnation {
    receiver: Receiver<Incarnation>,
    current: Incarnation,
    /// When this instance learned of it; `None` while the service names no incarnation.
    since: Option<Duration>,
    restore: Option<Restore>,
}

/// What an instance did about a new incarnation.
#[derive(Clone, Copy, Debug)]
struct Restore {
    before: u64,
    /// What showed it, if the service did not name it.
    fall: Option<RevisionFall>,
    had_lease: bool,
    /// Number of items that were read again and of those that the copy lacks, and when.
    read: Option<(usize, usize, Duration)>,
    registered_at: Option<Duration>,
}

impl KnownIncarnation {
    pub(crate) fn new(receiver: Receiver<Incarnation>) -> Self {
        Self {
            receiver,
            current: Incarnation::default(),
            since: None,
            restore: None,
        }
    }

    /// Takes over what the client of the service has learned. Returns whether another incarnation has
    /// begun.
    pub(crate) fn update(&mut self, had_lease: bool) -> bool {
        let latest = *self.receiver.borrow_and_update();
        if latest == self.current {
            return false;
        }
        let has_begun = !latest.is_same(&self.current);
        if has_begun {
            self.restore = Some(Restore {
                before: self.current.number,
                fall: latest.fall,
                had_lease,
                read: None,
                registered_at: None,
            });
        }
        self.current = latest;
        self.since = Some(boot_time());
        has_begun
    }

    pub(crate) fn current(&self) -> Incarnation {
        self.current
    }

    pub(crate) fn since(&self) -> Option<Duration> {
        self.since
    }

    /// Records that all items were read again. Returns the event to log if that was the last step.
    pub(crate) fn note_read(&mut self, count: usize, missing_count: usize) -> Option<Event> {
        self.restore.as_mut()?.read = Some((count, missing_count, boot_time()));
        self.take_finished()
    }

    /// Records that this instance is registered again. Returns the event to log if that was the last
    /// step.
    pub(crate) fn note_registered(&mut self) -> Option<Event> {
        let restore = self.restore.as_mut()?;
        restore.registered_at.get_or_insert(boot_time());
        self.take_finished()
    }

    fn take_finished(&mut self) -> Option<Event> {
        let restore = self.restore?;
        let (items_count, missing_count, read_at) = restore.read?;
        let registered_at = restore.registered_at?;
        self.restore = None;
        let since = self.since.unwrap_or(read_at);
        let to_ms = |at: Duration| {
            let took = at.saturating_sub(since);
            u64::try_from(took.as_millis()).unwrap_or(u64::MAX)
        };
        Some(Event::Restored {
            incarnation_before: restore.before,
            incarnation: self.current.number,
            revision_before: restore.fall.map_or(0, |fall| fall.known),
            revision: restore.fall.map_or(0, |fall| fall.answered),
            lease_dropped: restore.had_lease,
            items_count,
            missing_count,
            read_ms: to_ms(read_at),
            registered_ms: to_ms(registered_at),
        })
    }
}
