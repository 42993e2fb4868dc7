//! When an instance had word from the key-value service.

use std::{collections::VecDeque, time::Duration};

/// Time for which the gaps between two answers of the service are remembered.
const MEMORY: Duration = Duration::from_mins(2);
/// A gap that is not longer is not remembered.
const MIN_GAP: Duration = Duration::from_millis(500);

/// A time without word from the service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Gap {
    from: Duration,
    until: Duration,
}

/// When an instance had word from the key-value service, so that it can tell others whether the
/// service was there. All times are by one clock that keeps running during suspension.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ServiceContact {
    first_word_at: Option<Duration>,
    last_word_at: Duration,
    gaps: VecDeque<Gap>,
}

impl ServiceContact {
    /// Records that the service was there at `at`.
    pub fn record(&mut self, at: Duration) {
        if self.first_word_at.is_none() {
            self.first_word_at = Some(at);
            self.last_word_at = at;
            return;
        }
        if at.saturating_sub(self.last_word_at) > MIN_GAP {
            let from = self.last_word_at;
            self.gaps.push_back(Gap { from, until: at });
        }
        self.last_word_at = self.last_word_at.max(at);
        let forgotten_at = at.saturating_sub(MEMORY);
        self.gaps.retain(|gap| gap.until > forgotten_at);
    }

    /// Longest time without word from the service in the last `within` before `now`, at least
    /// approximately: gaps of up to half a second count as none. All of `within` if this instance
    /// cannot tell.
    #[must_use]
    pub fn longest_gap(&self, within: Duration, now: Duration) -> Duration {
        let since = now.saturating_sub(within);
        let can_tell = self.first_word_at.is_some_and(|at| at <= since) && within < MEMORY;
        if !can_tell {
            return within;
        }
        let open_gap = now.saturating_sub(self.last_word_at);
        let gaps = self.gaps.iter().filter(|gap| gap.until > since);
        let longest = gaps.map(|gap| gap.until.saturating_sub(gap.from)).max();
        longest.unwrap_or_default().max(open_gap)
    }
}
