//! How long calls of one kind last until their answers are whole.

use std::time::Duration;

/// What was seen in this time, and in the same time before it, counts.
const WINDOW: Duration = Duration::from_secs(15);
/// Whole answers before which nothing is expected.
const MIN_ANSWERS_COUNT: u32 = 8;
/// Share of the calls that are over within the usual time.
const TYPICAL_SHARE: f64 = 0.8;
/// Factor on the longest time: that of some hundred calls is not the longest there is, least of all while
/// instances leave and queues grow.
const UPPER_BOUND_FACTOR: f64 = 2.0;
/// Times up to this one are not told apart.
const FIRST_BUCKET: Duration = Duration::from_millis(8);
/// Steps in which a time doubles.
const BUCKETS_PER_DOUBLING: f64 = 4.0;
/// Steps that are told apart: up to half a minute.
const BUCKETS_COUNT: usize = 48;

/// Expects how long a call will last, by those before it. Times are since an origin that stays the same.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AnswerTimeHistogram {
    current: WindowStats,
    previous: WindowStats,
    window_started_at: Duration,
}

impl AnswerTimeHistogram {
    /// Counts a call whose answer was whole at `now`, after `took`.
    pub fn record(&mut self, duration: Duration, now: Duration) {
        self.rotate_window(now);
        self.current.add(duration);
    }

    /// Counts a call that was given up at `now`, after `took`: it would have lasted longer.
    pub fn record_abandoned(&mut self, duration: Duration, now: Duration) {
        self.rotate_window(now);
        self.current.longest = self.current.longest.max(duration);
    }

    /// The time within which most calls are over; none if too little is known.
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

    /// The time within which a call is over almost surely; none if too little is known.
    #[must_use]
    pub fn upper_bound(&self) -> Option<Duration> {
        self.count()?;
        Some(self.longest_recorded().mul_f64(UPPER_BOUND_FACTOR))
    }

    /// Whole answers that count, if they are enough.
    fn count(&self) -> Option<u32> {
        let count = self.current.count.saturating_add(self.previous.count);
        (count >= MIN_ANSWERS_COUNT).then_some(count)
    }

    fn longest_recorded(&self) -> Duration {
        self.current.longest.max(self.previous.longest)
    }

    /// Begins the next window if this one is over. What is known is kept while nothing new is seen.
    fn rotate_window(&mut self, now: Duration) {
        if now.saturating_sub(self.window_started_at) >= WINDOW {
            self.previous = std::mem::take(&mut self.current);
            self.window_started_at = now;
        }
    }
}

/// What was seen in one window.
#[derive(Clone, Debug, PartialEq)]
struct WindowStats {
    /// Calls by the step that their time falls into.
    counts: [u32; BUCKETS_COUNT],
    count: u32,
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

/// The longest time of a step.
fn bucket_upper_bound(bucket: usize) -> Duration {
    let doublings = f64::from(u32::try_from(bucket).unwrap_or(u32::MAX)) / BUCKETS_PER_DOUBLING;
    FIRST_BUCKET.mul_f64(doublings.exp2())
}
