//! Rate limit in prompt and answer tokens.

use std::time::{Duration, Instant};

/// Capacity of the bucket, as the time in which it fills.
const BURST_S: f64 = 10.0;

/// Token bucket for prompt and answer tokens that allows a burst of ten seconds.
#[derive(Clone, Debug)]
pub(crate) struct TokenBucket {
    available_tokens: f64,
    updated_at: Instant,
}

impl TokenBucket {
    /// Returns a full bucket.
    pub(crate) fn new(tokens_per_s: f64, now: Instant) -> Self {
        Self {
            available_tokens: tokens_per_s * BURST_S,
            updated_at: now,
        }
    }

    /// Takes `tokens` out of the bucket.
    ///
    /// A request larger than the burst needs a full bucket and leaves it negative, so that the rate
    /// holds over time.
    ///
    /// # Errors
    /// The time until there will be enough tokens.
    pub(crate) fn try_take(
        &mut self,
        tokens: f64,
        tokens_per_s: f64,
        now: Instant,
    ) -> Result<(), Duration> {
        let burst_tokens = tokens_per_s * BURST_S;
        let elapsed_s = now.saturating_duration_since(self.updated_at).as_secs_f64();
        self.updated_at = self.updated_at.max(now);
        self.available_tokens =
            (self.available_tokens + elapsed_s * tokens_per_s).min(burst_tokens);
        let missing_tokens = tokens.min(burst_tokens) - self.available_tokens;
        if missing_tokens > 0.0 {
            let wait_s = missing_tokens / tokens_per_s.max(f64::MIN_POSITIVE);
            return Err(Duration::try_from_secs_f64(wait_s).unwrap_or(Duration::MAX));
        }
        self.available_tokens -= tokens;
        Ok(())
    }

    /// Puts back the tokens that [`Self::try_take`] took for a request that did not run.
    pub(crate) fn refund(&mut self, tokens: f64) {
        self.available_tokens += tokens;
    }
}
