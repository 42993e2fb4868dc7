//! How often children may be started again.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// At most this many restarts in any window of this length.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RestartLimit {
    /// Restarts allowed inside the window, over all children of the supervisor.
    pub restart_count: usize,
    /// Length of the window.
    pub window: Duration,
}

impl Default for RestartLimit {
    /// Five restarts in ten seconds.
    fn default() -> Self {
        Self {
            restart_count: 5,
            window: Duration::from_secs(10),
        }
    }
}

/// Restarts inside the current window of a [`RestartLimit`]. The clock is an argument.
#[derive(Clone, Debug)]
pub struct RestartWindow {
    limit: RestartLimit,
    restarts: VecDeque<Instant>,
}

impl RestartWindow {
    /// A window without restarts.
    #[must_use]
    pub fn new(limit: RestartLimit) -> Self {
        Self {
            limit,
            restarts: VecDeque::new(),
        }
    }

    /// Counts a restart at `now`, unless the limit is reached; says whether it is allowed.
    pub fn allow(&mut self, now: Instant) -> bool {
        while self
            .restarts
            .front()
            .is_some_and(|restart| now.saturating_duration_since(*restart) >= self.limit.window)
        {
            self.restarts.pop_front();
        }
        if self.restarts.len() >= self.limit.restart_count {
            return false;
        }
        self.restarts.push_back(now);
        true
    }

    /// Restarts counted in the window as of the last call of [`Self::allow`].
    #[must_use]
    pub fn restart_count(&self) -> usize {
        self.restarts.len()
    }
}
