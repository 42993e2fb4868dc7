//! Handle that gives access to the configuration in force.

use {
    crate::{Snapshot, follower_state::FollowerState},
    arc_swap::ArcSwap,
    bytes::Bytes,
    catalog::{Catalog, Revision},
    keyvalue::Event,
    std::{
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::{sync::watch, time::Instant},
};

/// How current the configuration in force is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FollowerStatus {
    /// Revision of the last change in force; 0 before the first snapshot.
    pub revision: Revision,
    /// Time since the service last confirmed it; `None` before the first snapshot.
    pub confirmed_age: Option<Duration>,
    /// Number of objects that are left out because this version of the software cannot parse them.
    pub unreadable_count: usize,
}

/// Gives access to the configuration in force and accepts peers' snapshots. Clones share one state.
#[derive(Clone, Debug, Default)]
pub struct FollowerHandle {
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    published: ArcSwap<Snapshot>,
    state: Mutex<FollowerState>,
    ready: watch::Sender<Readiness>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Readiness {
    service_read: bool,
    peers_asked: bool,
    has_snapshot: bool,
}

impl FollowerHandle {
    /// The configuration in force. Lock-free, so that traffic threads can call it cheaply.
    #[must_use]
    pub fn catalog(&self) -> Arc<Catalog> {
        self.shared.published.load().catalog.clone()
    }

    /// The configuration in force with the revision of each object.
    #[must_use]
    pub fn snapshot(&self) -> Arc<Snapshot> {
        self.shared.published.load_full()
    }

    /// How current the configuration in force is.
    #[must_use]
    pub fn status(&self) -> FollowerStatus {
        let state = self.state();
        FollowerStatus {
            revision: state.revision(),
            confirmed_age: state.confirmed_at.map(|at| at.elapsed()),
            unreadable_count: state
                .current
                .as_ref()
                .map_or(0, |current| current.unreadable.len()),
        }
    }

    /// The snapshot in force as JSON bytes for a peer; `None` before the first snapshot.
    #[must_use]
    pub fn export(&self) -> Option<Bytes> {
        let state = self.state();
        let current = state.current.clone()?;
        let age = state.confirmed_at.map_or(Duration::MAX, |at| at.elapsed());
        drop(state);
        Some(current.to_json(age))
    }

    /// Offers a peer's snapshot, which the service confirmed to that peer `confirmed_age` ago.
    /// Returns `true` if it was newer than the snapshot in force and has replaced it.
    #[expect(
        clippy::must_use_candidate,
        reason = "the offer takes effect either way"
    )]
    pub fn offer(&self, snapshot: Snapshot, confirmed_age: Duration) -> bool {
        let now = Instant::now();
        let confirmed_at = now.checked_sub(confirmed_age).unwrap_or(now);
        self.update(|state| state.apply_peer_snapshot(snapshot, confirmed_at))
    }

    /// Records that every reachable peer has been asked for its snapshot. While the service is
    /// down, an instance becomes ready only after this.
    pub fn mark_peers_asked(&self) {
        self.shared
            .ready
            .send_modify(|ready| ready.peers_asked = true);
    }

    /// Waits until there is a configuration to serve with: one read from the service, or the newest
    /// of the peers' snapshots once all peers were asked.
    pub async fn ready(&self) {
        let mut ready = self.shared.ready.subscribe();
        let is_ready =
            |ready: &Readiness| ready.service_read || (ready.peers_asked && ready.has_snapshot);
        // Fails only if the sender was dropped, but this handle keeps it alive.
        let _ = ready.wait_for(is_ready).await;
    }

    pub(crate) fn as_of(&self) -> Revision {
        self.state().as_of()
    }

    pub(crate) fn revision(&self) -> Revision {
        self.state().revision()
    }

    pub(crate) fn apply_read(&self, read: Snapshot, requested_at: Instant) -> bool {
        let applied = self.update(|state| state.apply_read(read, requested_at));
        if applied {
            self.shared
                .ready
                .send_modify(|ready| ready.service_read = true);
        }
        applied
    }

    pub(crate) fn apply_changes(&self, revision: Revision, events: &[Event], received_at: Instant) {
        self.update(|state| state.apply_changes(revision, events, received_at));
    }

    pub(crate) fn confirm_unchanged(&self, as_of: Revision, requested_at: Instant) {
        self.state().confirm_unchanged(as_of, requested_at);
    }

    /// Updates the state and publishes the snapshot before releasing the lock, so that a reader
    /// never sees a lower revision after a higher one. `update` returns whether the snapshot
    /// changed.
    fn update<Update>(&self, update: Update) -> bool
    where
        Update: FnOnce(&mut FollowerState) -> bool,
    {
        let mut state = self.state();
        let changed = update(&mut state);
        if changed && let Some(current) = &state.current {
            self.shared.published.store(current.clone());
            log::info!(
                "configuration revision {} is in force, {} objects",
                current.catalog.revision,
                current.revisions.len()
            );
            for (key, reason) in &current.unreadable {
                log::error!("{key} is left out: {reason}");
            }
        }
        drop(state);
        if changed {
            self.shared
                .ready
                .send_modify(|ready| ready.has_snapshot = true);
        }
        changed
    }

    fn state(&self) -> MutexGuard<'_, FollowerState> {
        self.shared
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
