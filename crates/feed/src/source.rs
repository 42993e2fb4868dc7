//! What an instance has to tell the others.

use {
    crate::Batch,
    balance::TargetLoad,
    parts::{Change, ChangeLog, Position},
    relay::{Followed, boot_time},
    std::{
        collections::HashSet,
        net::SocketAddr,
        sync::{Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::{sync::Notify, time::timeout},
};

/// What an instance has learned of the places that it follows, and what it has under way.
#[derive(Debug)]
pub struct Feed {
    followed: Followed,
    state: Mutex<State>,
    changed: Notify,
}

#[derive(Debug)]
struct State {
    log: ChangeLog,
    followed_places: HashSet<SocketAddr>,
}

impl Feed {
    /// A feed of what goes into `followed`.
    #[must_use]
    pub fn new(followed: Followed) -> Self {
        let state = State {
            log: ChangeLog::new(rand::random()),
            followed_places: HashSet::new(),
        };
        Self {
            followed,
            state: Mutex::new(state),
            changed: Notify::new(),
        }
    }

    /// Begins to tell of `place`, of which nothing is known yet.
    pub fn follow(&self, place: SocketAddr) {
        self.lock_state().followed_places.insert(place);
        self.publish(Change::Cleared { place });
    }

    /// Tells of `place` no more.
    pub fn unfollow(&self, place: SocketAddr) {
        self.lock_state().followed_places.remove(&place);
    }

    /// Takes in what this instance has learned of a place that it follows.
    pub fn publish(&self, change: Change) {
        let mut state = self.lock_state();
        self.followed.keeping().apply(&change, boot_time());
        state.log.push(change);
        drop(state);
        self.changed.notify_waiters();
    }

    /// What was learned since `since`, or the whole state if that is not known any more.
    #[must_use]
    pub fn read(&self, since: Option<Position>) -> Batch {
        let state = self.lock_state();
        let keeping = self.followed.keeping();
        let changes = since.and_then(|since| state.log.since(since));
        Batch {
            position: state.log.position(),
            clock: keeping.clock(boot_time()),
            loads: self.in_flight_loads(),
            link_use: keeping.link_use(),
            changes: changes.unwrap_or_else(|| keeping.state_of(&state.followed_places)),
        }
    }

    /// The same, after waiting up to `wait` for something to tell.
    pub(crate) async fn read_or_wait(&self, since: Option<Position>, wait: Duration) -> Batch {
        let change = self.changed.notified();
        let batch = self.read(since);
        if !batch.changes.is_empty() || timeout(wait, change).await.is_err() {
            return batch;
        }
        self.read(since)
    }

    /// Held for a few steps only, never across a wait, and always before `keeping`.
    fn lock_state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Calls under way.
    fn in_flight_loads(&self) -> Vec<TargetLoad> {
        let view = self.followed.view();
        let targets = view.pools.values().flatten();
        let loads = targets.map(|target| (target.seed, target.live.in_flight_count()));
        loads.filter(|(_, count)| *count > 0).collect()
    }
}
