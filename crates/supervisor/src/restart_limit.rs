//! Limit on the restart rate of children.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Maximum number of restarts within any sliding window of a given length.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RestartLimit {
    /// Restarts allowed within one window, summed over all children of the supervisor.
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

/// Sliding window that counts the restarts of a [`RestartLimit`]. Callers pass in the current time.
#[derive(Clone, Debug)]
pub struct RestartWindow {
    limit: RestartLimit,
    restarts: VecDeque<Instant>,
}

impl RestartWindow {
    /// Creates a window without restarts.
    #[must_use]
    pub fn new(limit: RestartLimit) -> Self {
        Self {
            limit,
            restarts: VecDeque::new(),
        }
    }

    /// Records a restart at `now` and returns `true`, or returns `false` if the limit is reached.
    pub fn try_record(&mut self, now: Instant) -> bool {
        while self.restarts.front().is_some_and(|restarted_at| {
            now.saturating_duration_since(*restarted_at) >= self.limit.window
        }) {
            self.restarts.pop_front();
        }
        if self.restarts.len() >= self.limit.restart_count {
            return false;
        }
        self.restarts.push_back(now);
        true
    }

    /// Number of restarts in the window as of the last call of [`Self::try_record`].
    #[must_use]
    pub fn restart_count(&self) -> usize {
        self.restarts.len()
    }
}
