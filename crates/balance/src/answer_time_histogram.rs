//! How long calls of one kind last until their answers are whole.

use std::time::Duration;

/// What was seen in this time, and in the same time before it, counts.
const WINDOW: Duration = Duration::from_secs(15);
/// Whole answers before which nothing is expected.
const MIN_COUNT: u32 = 8;
/// Share of the calls that are over within the usual time.
const USUAL_SHARE: f64 = 0.8;
/// Factor on the longest time: that of some hundred calls is not the longest there is, least of all while
/// instances leave and queues grow.
const LONGEST_FACTOR: f64 = 2.0;
/// Times up to this one are not told apart.
const FIRST_STEP: Duration = Duration::from_millis(8);
/// Steps in which a time doubles.
const STEPS_PER_DOUBLING: f64 = 4.0;
/// Steps that are told apart: up to half a minute.
const STEPS_COUNT: usize = 48;

/// Expects how long a call will last, by those before it. Times are since an origin that stays the same.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AnswerTimeHistogram {
    now: Seen,
    before: Seen,
    begun_at: Duration,
}

impl AnswerTimeHistogram {
    /// Counts a call whose answer was whole at `now`, after `took`.
    pub fn record(&mut self, took: Duration, now: Duration) {
        self.turn(now);
        self.now.add(took);
    }

    /// Counts a call that was given up at `now`, after `took`: it would have lasted longer.
    pub fn record_abandoned(&mut self, took: Duration, now: Duration) {
        self.turn(now);
        self.now.longest = self.now.longest.max(took);
    }

    /// The time within which most calls are over; none if too little is known.
    #[must_use]
    pub fn typical(&self) -> Option<Duration> {
        let total = self.count()?;
        let mut count = 0;
        let steps = self.now.counts.iter().zip(&self.before.counts);
        for (step, (now, before)) in steps.enumerate() {
            count += now + before;
            if f64::from(count) >= f64::from(total) * USUAL_SHARE {
                return Some(end_of(step).min(self.longest_seen()));
            }
        }
        Some(self.longest_seen())
    }

    /// The time within which a call is over almost surely; none if too little is known.
    #[must_use]
    pub fn upper_bound(&self) -> Option<Duration> {
        self.count()?;
        Some(self.longest_seen().mul_f64(LONGEST_FACTOR))
    }

    /// Whole answers that count, if they are enough.
    fn count(&self) -> Option<u32> {
        let count = self.now.count.saturating_add(self.before.count);
        (count >= MIN_COUNT).then_some(count)
    }

    fn longest_seen(&self) -> Duration {
        self.now.longest.max(self.before.longest)
    }

    /// Begins the next window if this one is over. What is known is kept while nothing new is seen.
    fn turn(&mut self, now: Duration) {
        if now.saturating_sub(self.begun_at) >= WINDOW {
            self.before = std::mem::take(&mut self.now);
            self.begun_at = now;
        }
    }
}

/// What was seen in one window.
#[derive(Clone, Debug, PartialEq)]
struct Seen {
    /// Calls by the step that their time falls into.
    counts: [u32; STEPS_COUNT],
    count: u32,
    longest: Duration,
}

impl Default for Seen {
    fn default() -> Self {
        Self {
            counts: [0; STEPS_COUNT],
            count: 0,
            longest: Duration::ZERO,
        }
    }
}

impl Seen {
    fn add(&mut self, took: Duration) {
        let step = (0..STEPS_COUNT - 1).find(|step| took <= end_of(*step));
        let step = step.unwrap_or(STEPS_COUNT - 1);
        self.counts[step] = self.counts[step].saturating_add(1);
        self.count = self.count.saturating_add(1);
        self.longest = self.longest.max(took);
    }
}

/// The longest time of a step.
fn end_of(step: usize) -> Duration {
    let doublings = f64::from(u32::try_from(step).unwrap_or(u32::MAX)) / STEPS_PER_DOUBLING;
    FIRST_STEP.mul_f64(doublings.exp2())
}
