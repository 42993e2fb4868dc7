//! Which snapshot is in force, and the rules by which another takes its place.

use {crate::Snapshot, catalog::Revision, keyvalue::Event, std::sync::Arc, tokio::time::Instant};

/// The snapshot in force. A lower revision never takes the place of a higher one.
#[derive(Debug, Default)]
pub(crate) struct FollowerState {
    /// The snapshot in force; none before the first.
    pub current: Option<Arc<Snapshot>>,
    /// When the service last confirmed it, here or at the peer it came from.
    pub confirmed_at: Option<Instant>,
}

impl FollowerState {
    /// Revision up to which the snapshot in force is known to hold.
    pub(crate) fn as_of(&self) -> Revision {
        self.current.as_ref().map_or(0, |current| current.as_of)
    }

    /// Revision of the last change in force.
    pub(crate) fn revision(&self) -> Revision {
        self.current
            .as_ref()
            .map_or(0, |current| current.catalog.revision)
    }

    /// Takes a complete read of the service; `false` if it is older than what is in force.
    pub(crate) fn apply_read(&mut self, read: Snapshot, requested_at: Instant) -> bool {
        if self.current.is_some() && read.as_of < self.as_of() {
            return false;
        }
        self.replace(read);
        self.confirm(requested_at);
        true
    }

    /// Takes a peer's snapshot; `false` if it is not newer than what is in force. One of the same
    /// revision still tells that the service confirmed it there.
    pub(crate) fn apply_peer_snapshot(
        &mut self,
        snapshot: Snapshot,
        confirmed_at: Instant,
    ) -> bool {
        let has_current = self.current.is_some();
        if has_current && snapshot.catalog.revision < self.revision() {
            return false;
        }
        if has_current && snapshot.catalog.revision == self.revision() {
            self.confirm(confirmed_at);
            return false;
        }
        self.replace(snapshot);
        self.confirmed_at = Some(confirmed_at);
        true
    }

    /// Takes all changes of one revision; `false` if they are in force already.
    pub(crate) fn apply_changes(
        &mut self,
        revision: Revision,
        events: &[Event],
        received_at: Instant,
    ) -> bool {
        let Some(current) = &self.current else {
            return false;
        };
        if revision <= current.as_of {
            return false;
        }
        let next = current.with_changes(revision, events);
        self.current = Some(Arc::new(next));
        self.confirm(received_at);
        true
    }

    /// Notes that nothing changed up to `as_of`.
    pub(crate) fn confirm_unchanged(&mut self, as_of: Revision, requested_at: Instant) {
        if as_of > self.as_of()
            && let Some(current) = &mut self.current
        {
            Arc::make_mut(current).as_of = as_of;
        }
        self.confirm(requested_at);
    }

    fn replace(&mut self, mut next: Snapshot) {
        let revision = next.catalog.revision.max(self.revision());
        if next.catalog.revision < revision {
            Arc::make_mut(&mut next.catalog).revision = revision;
        }
        self.current = Some(Arc::new(next));
    }

    fn confirm(&mut self, at: Instant) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }
}
