//! How fast an instance begins to follow places.

use std::time::Duration;

/// Length of a period.
pub const START_PERIOD: Duration = Duration::from_millis(100);
/// Number of places that an instance begins to follow in one period. More than its share of most
/// deployments, so that a single instance that starts is not delayed.
pub const MAX_STARTED_COUNT: usize = 8;

/// Limits how many places an instance begins to follow in each [`START_PERIOD`].
///
/// While many instances start at once, each knows of few others and takes far more places for its own
/// than it will keep. If it followed all of them at once, the connections of a large fleet to a large
/// number of targets would grow with their product.
#[derive(Clone, Debug, Default)]
pub struct FollowerPace {
    period_began_at: Option<Duration>,
    started_count: usize,
}

impl FollowerPace {
    /// Takes the right to begin to follow one place at `now`. Returns whether there was one left in
    /// the present period.
    pub fn try_start(&mut self, now: Duration) -> bool {
        let is_over = |began: Duration| now.saturating_sub(began) >= START_PERIOD;
        if self.period_began_at.is_none_or(is_over) {
            self.period_began_at = Some(now);
            self.started_count = 0;
        }
        let may_start = self.started_count < MAX_STARTED_COUNT;
        self.started_count += usize::from(may_start);
        may_start
    }
}
