//! Histogram of the time from the arrival of a call to the end of its answer.

use std::time::Duration;

/// Length of a window. Estimates cover the current and the previous window.
const WINDOW: Duration = Duration::from_secs(15);
/// Number of complete answers below which there is no estimate.
const MIN_ANSWERS_COUNT: u32 = 8;
/// Share of the calls that end within the typical time.
const TYPICAL_SHARE: f64 = 0.8;
/// Factor from the longest recorded time to the upper bound. The longest of a few hundred calls is
/// not the longest possible, especially while instances leave and queues grow.
const UPPER_BOUND_FACTOR: f64 = 2.0;
/// Upper bound of the first bucket.
const FIRST_BUCKET: Duration = Duration::from_millis(8);
/// Number of buckets after which the upper bound has doubled.
const BUCKETS_PER_DOUBLING: f64 = 4.0;
/// Number of buckets. The upper bound of the last one is about 28 s; it also counts longer times.
const BUCKETS_COUNT: usize = 48;

/// Estimates how long a call will last from the durations of recent calls of the same kind.
///
/// `now` is always the time since a fixed origin.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AnswerTimeHistogram {
    current: WindowStats,
    previous: WindowStats,
    window_started_at: Duration,
}

impl AnswerTimeHistogram {
    /// Records a call whose answer was complete at `now`, `duration` after the call arrived.
    pub fn record(&mut self, duration: Duration, now: Duration) {
        self.rotate_window(now);
        self.current.add(duration);
    }

    /// Records a call that was abandoned at `now` and had made progress for `duration`.
    ///
    /// The call would have lasted longer, so it raises only the upper bound.
    pub fn record_abandoned(&mut self, duration: Duration, now: Duration) {
        self.rotate_window(now);
        self.current.longest = self.current.longest.max(duration);
    }

    /// Returns the time within which 80 % of the recent calls ended, rounded up to a bucket's
    /// bound, or `None` if there are too few complete answers.
    #[must_use]
    pub fn typical(&self) -> Option<Duration> {
        let total = self.count()?;
        let mut count = 0;
        let buckets = self.current.counts.iter().zip(&self.previous.counts);
        for (bucket, (current, previous)) in buckets.enumerate() {
            count += current + previous;
            if f64::from(count) >= f64::from(total) * TYPICAL_SHARE {
                return Some(bucket_upper_bound(bucket).min(self.longest_recorded()));
            }
        }
        Some(self.longest_recorded())
    }

    /// Returns the time within which a call almost certainly ends: twice the longest recent one,
    /// including abandoned calls. `None` if there are too few complete answers.
    #[must_use]
    pub fn upper_bound(&self) -> Option<Duration> {
        self.count()?;
        Some(self.longest_recorded().mul_f64(UPPER_BOUND_FACTOR))
    }

    /// Returns the number of complete answers in both windows, if there are enough of them.
    fn count(&self) -> Option<u32> {
        let count = self.current.count.saturating_add(self.previous.count);
        (count >= MIN_ANSWERS_COUNT).then_some(count)
    }

    fn longest_recorded(&self) -> Duration {
        self.current.longest.max(self.previous.longest)
    }

    /// Starts the next window if the current one is over.
    ///
    /// This happens only when a call is recorded, so the estimates stay as they are without calls.
    fn rotate_window(&mut self, now: Duration) {
        if now.saturating_sub(self.window_started_at) >= WINDOW {
            self.previous = std::mem::take(&mut self.current);
            self.window_started_at = now;
        }
    }
}

/// Calls recorded in one window.
#[derive(Clone, Debug, PartialEq)]
struct WindowStats {
    /// Number of complete answers per bucket.
    counts: [u32; BUCKETS_COUNT],
    /// Number of complete answers in all buckets.
    count: u32,
    /// Longest recorded time, including those of abandoned calls.
    longest: Duration,
}

impl Default for WindowStats {
    fn default() -> Self {
        Self {
            counts: [0; BUCKETS_COUNT],
            count: 0,
            longest: Duration::ZERO,
        }
    }
}

impl WindowStats {
    fn add(&mut self, duration: Duration) {
        let bucket = (0..BUCKETS_COUNT - 1).find(|bucket| duration <= bucket_upper_bound(*bucket));
        let bucket = bucket.unwrap_or(BUCKETS_COUNT - 1);
        self.counts[bucket] = self.counts[bucket].saturating_add(1);
        self.count = self.count.saturating_add(1);
        self.longest = self.longest.max(duration);
    }
}

/// Returns the longest time that a bucket counts.
fn bucket_upper_bound(bucket: usize) -> Duration {
    let doublings = f64::from(u32::try_from(bucket).unwrap_or(u32::MAX)) / BUCKETS_PER_DOUBLING;
    FIRST_BUCKET.mul_f64(doublings.exp2())
}
