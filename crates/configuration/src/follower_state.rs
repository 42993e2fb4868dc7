//! The snapshot in force and the rules for replacing it.

use {crate::Snapshot, catalog::Revision, keyvalue::Event, std::sync::Arc, tokio::time::Instant};

/// The snapshot in force. A snapshot of a lower revision never replaces one of a higher revision.
#[derive(Debug, Default)]
pub(crate) struct FollowerState {
    /// The snapshot in force; `None` until the first one arrives.
    pub current: Option<Arc<Snapshot>>,
    /// When the service last confirmed the snapshot, to this instance or to the peer it came from.
    pub confirmed_at: Option<Instant>,
}

impl FollowerState {
    /// Revision up to which the snapshot in force is known to be current; 0 if there is none.
    pub(crate) fn as_of(&self) -> Revision {
        self.current.as_ref().map_or(0, |current| current.as_of)
    }

    /// Revision of the last change in force; 0 if there is no snapshot.
    pub(crate) fn revision(&self) -> Revision {
        self.current
            .as_ref()
            .map_or(0, |current| current.catalog.revision)
    }

    /// Applies a complete read of the service; returns `false` if it is older than the snapshot in
    /// force.
    pub(crate) fn apply_read(&mut self, read: Snapshot, requested_at: Instant) -> bool {
        if self.current.is_some() && read.as_of < self.as_of() {
            return false;
        }
        self.replace(read);
        self.confirm(requested_at);
        true
    }

    /// Applies a peer's snapshot; returns `false` if it is not newer than the one in force. A
    /// snapshot of the same revision still updates the time of confirmation.
    pub(crate) fn apply_peer_snapshot(
        &mut self,
        mut snapshot: Snapshot,
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
        if let Some(current) = &self.current {
            snapshot.keep_unreadable_of(current);
        }
        self.replace(snapshot);
        self.confirmed_at = Some(confirmed_at);
        true
    }

    /// Applies all changes of one revision; returns `false` if they are already in force or there
    /// is no snapshot to apply them to.
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

    /// Records that nothing changed up to revision `as_of`.
    pub(crate) fn confirm_unchanged(&mut self, as_of: Revision, requested_at: Instant) {
        if as_of > self.as_of()
            && let Some(current) = &mut self.current
        {
            Arc::make_mut(current).as_of = as_of;
        }
        self.confirm(requested_at);
    }

    /// Puts `next` in force. Keeps the revision of the last change if `next` has a lower one.
    fn replace(&mut self, mut next: Snapshot) {
        let revision = next.catalog.revision.max(self.revision());
        if next.catalog.revision < revision {
            Arc::make_mut(&mut next.catalog).revision = revision;
        }
        self.current = Some(Arc::new(next));
    }

    /// Records a confirmation by the service, unless a later one is known.
    fn confirm(&mut self, at: Instant) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }
}
