//! This instance's part of a limit that a target sets for all instances together.

use {crate::rendezvous, std::time::Duration};

/// Number of instances that may send to a limited target, besides one for each call per second of
/// the limit. Each of them can send one call at any moment, so a low limit would be exceeded if all
/// of many instances might.
const MIN_SENDERS_COUNT: usize = 3;
/// Time whose calls an instance may send at once.
const BURST_TIME: Duration = Duration::from_millis(250);
/// Calls that an instance may send at once at least.
const MIN_BURST_COUNT: f64 = 1.0;

/// Most tokens that are taken before they are there.
const MAX_DEBT_COUNT: f64 = 3.0;

/// Returns the part of `limit_per_s`, in calls per second, that the instance `own_seed` may use at
/// the target `target_seed`; 0 if other instances use all of it.
///
/// Few of the `instance_seeds` use a low limit, chosen by rendezvous hashing, so that instances with
/// the same view agree without a message. An instance that is missing there counts as one more.
#[must_use]
pub fn limit_part(
    limit_per_s: f64,
    target_seed: u64,
    own_seed: u64,
    instance_seeds: &[u64],
) -> f64 {
    let own_score = rendezvous::score(target_seed, own_seed);
    let others = instance_seeds.iter().filter(|seed| **seed != own_seed);
    let others_count = others.clone().count();
    let higher = others.filter(|seed| rendezvous::score(target_seed, **seed) > own_score);
    let senders_count = max_senders_count(limit_per_s).min(others_count + 1);
    if higher.count() >= senders_count {
        return 0.0;
    }
    #[allow(clippy::cast_precision_loss)]
    let senders_count = senders_count as f64;
    limit_per_s / senders_count
}

fn max_senders_count(limit_per_s: f64) -> usize {
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let calls_per_s = limit_per_s.max(0.0) as usize;
    MIN_SENDERS_COUNT.saturating_add(calls_per_s)
}

/// Token bucket for this instance's part of a limit. Starts without a token.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitShare {
    rate_per_s: f64,
    /// Time whose calls may be sent at once.
    burst_time: Duration,
    tokens_count: f64,
    updated_at: Duration,
}

impl LimitShare {
    /// Creates a bucket at `now` for `rate_per_s` calls per second.
    #[must_use]
    pub fn new(rate_per_s: f64, now: Duration) -> Self {
        Self {
            rate_per_s,
            burst_time: BURST_TIME,
            tokens_count: 0.0,
            updated_at: now,
        }
    }

    /// Creates a bucket that gives one call at once, whatever its rate.
    pub(crate) fn without_burst(rate_per_s: f64, now: Duration) -> Self {
        Self {
            burst_time: Duration::ZERO,
            ..Self::new(rate_per_s, now)
        }
    }

    /// Changes the rate from `now` on.
    pub fn set_rate(&mut self, rate_per_s: f64, now: Duration) {
        self.refill(now);
        self.rate_per_s = rate_per_s;
    }

    /// Takes a token for one call. Returns false if there is none.
    pub fn try_take(&mut self, now: Duration) -> bool {
        self.refill(now);
        let is_available = self.tokens_count >= 1.0;
        if is_available {
            self.tokens_count -= 1.0;
        }
        is_available
    }

    /// Takes a token that may be missing. The debt is limited to [`MAX_DEBT_COUNT`].
    pub(crate) fn charge(&mut self, now: Duration) {
        self.refill(now);
        self.tokens_count = (self.tokens_count - 1.0).max(-MAX_DEBT_COUNT);
    }

    /// Time until there is a token; `None` if there never will be at this rate.
    #[must_use]
    pub fn time_until_token(mut self, now: Duration) -> Option<Duration> {
        self.refill(now);
        let missing_count = (1.0 - self.tokens_count).max(0.0);
        if missing_count == 0.0 {
            return Some(Duration::ZERO);
        }
        Duration::try_from_secs_f64(missing_count / self.rate_per_s).ok()
    }

    fn refill(&mut self, now: Duration) {
        let elapsed_s = now.saturating_sub(self.updated_at).as_secs_f64();
        self.updated_at = self.updated_at.max(now);
        let burst_count = (self.rate_per_s * self.burst_time.as_secs_f64()).max(MIN_BURST_COUNT);
        let refilled_count = self.tokens_count + elapsed_s * self.rate_per_s;
        self.tokens_count = refilled_count.min(burst_count);
    }
}
