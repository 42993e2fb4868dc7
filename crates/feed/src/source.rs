//! What an instance has to tell the others.

use {
    crate::Batch,
    balance::TargetLoad,
    parts::{Change, ChangeLog, Position},
    relay::{RelayState, boot_time},
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
    followed: RelayState,
    state: Mutex<State>,
    changed: Notify,
}

#[derive(Debug)]
struct State {
    log: ChangeLog,
    followed: HashSet<SocketAddr>,
}

impl Feed {
    /// A feed of what goes into `followed`.
    #[must_use]
    pub fn new(followed: RelayState) -> Self {
        let state = State {
            log: ChangeLog::new(rand::random()),
            followed: HashSet::new(),
        };
        Self {
            followed,
            state: Mutex::new(state),
            changed: Notify::new(),
        }
    }

    /// Begins to tell of `place`, of which nothing is known yet.
    pub fn follow(&self, place: SocketAddr) {
        self.state().followed.insert(place);
        self.publish(Change::Cleared { place });
    }

    /// Tells of `place` no more.
    pub fn unfollow(&self, place: SocketAddr) {
        self.state().followed.remove(&place);
    }

    /// Takes in what this instance has learned of a place that it follows.
    pub fn publish(&self, change: Change) {
        let mut state = self.state();
        self.followed.cache_index().apply(&change, boot_time());
        state.log.push(change);
        drop(state);
        self.changed.notify_waiters();
    }

    /// What was learned since `since`, or the whole state if that is not known any more.
    #[must_use]
    pub fn read(&self, since: Option<Position>) -> Batch {
        let state = self.state();
        let keeping = self.followed.cache_index();
        let changes = since.and_then(|since| state.log.since(since));
        Batch {
            position: state.log.position(),
            clock: keeping.clock(boot_time()),
            loads: self.loads(),
            link_use: keeping.link_use(),
            changes: changes.unwrap_or_else(|| keeping.snapshot(&state.followed)),
        }
    }

    /// The same, after waiting up to `wait` for something to tell.
    pub(crate) async fn read_within(&self, since: Option<Position>, wait: Duration) -> Batch {
        let changed = self.changed.notified();
        let batch = self.read(since);
        if !batch.changes.is_empty() || timeout(wait, changed).await.is_err() {
            return batch;
        }
        self.read(since)
    }

    /// Held for a few steps only, never across a wait, and always before `keeping`.
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Calls under way.
    fn loads(&self) -> Vec<TargetLoad> {
        let view = self.followed.view();
        let targets = view.pools.values().flatten();
        let loads = targets.map(|target| (target.seed, target.call_stats.in_flight_count()));
        loads.filter(|(_, count)| *count > 0).collect()
    }
}
