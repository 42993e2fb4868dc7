//! Whether an instance can reach the targets of a pool.

use std::{collections::BTreeSet, time::Duration};

/// Number of targets that must be unreachable, if the pool has so many. A few can be down by
/// themselves.
const MIN_FAILING_COUNT: usize = 3;
/// Time for which no target must have been reached. Longer than the targets need to get over a
/// short loss of packets.
const MIN_FAILING_TIME: Duration = Duration::from_millis(600);

/// Whether an instance can reach the targets of one pool, as its own connections show. Times are by
/// one clock of the caller's choice.
#[derive(Clone, Debug, Default)]
pub struct Reachability {
    /// Seeds of the targets to which connections failed since any target was reached.
    failing: BTreeSet<u64>,
    failing_since: Option<Duration>,
}

impl Reachability {
    /// Records that a target of the pool sent an answer or accepted a connection.
    pub fn record_reached(&mut self) {
        self.failing.clear();
        self.failing_since = None;
    }

    /// Records that no connection to the target with this seed could be opened.
    pub fn record_failure(&mut self, target_seed: u64, now: Duration) {
        self.failing.insert(target_seed);
        self.failing_since.get_or_insert(now);
    }

    /// Whether the instance is taken to be cut off from the pool, which has `targets_count` targets.
    /// They may also all be down.
    #[must_use]
    pub fn is_cut_off(&self, targets_count: usize, now: Duration) -> bool {
        let min_count = MIN_FAILING_COUNT.min(targets_count).max(1);
        let failing_time = self.failing_since.map(|since| now.saturating_sub(since));
        self.failing.len() >= min_count && failing_time.is_some_and(|it| it >= MIN_FAILING_TIME)
    }
}
