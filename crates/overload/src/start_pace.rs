//! How long calls wait at a target, for each token in flight there.

use {crate::decayed_sum::DecayedSum, std::time::Duration};

/// Ratio of the recent start delays of calls to the tokens that were in flight at their targets when
/// they were sent.
///
/// The ratio changes slowly while loads change fast, so that it predicts delays that no call has met
/// yet. It includes whatever makes calls wait at a target: slots, memory, reading of prompts and the
/// target's order of priorities.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StartPace {
    delays_s: DecayedSum,
    tokens: DecayedSum,
}

impl StartPace {
    /// Records a call that started, or was given up without a start, `delay` after it was sent to a
    /// target with `tokens_count` tokens in flight.
    pub(crate) fn record(&mut self, tokens_count: f64, delay: Duration, now: Duration) {
        self.delays_s.add(delay.as_secs_f64(), now);
        self.tokens.add(tokens_count.max(1.0), now);
    }

    /// Delay of a call that is sent now to a target with `tokens_count` tokens in flight; zero before
    /// the first call.
    pub(crate) fn predict(&self, tokens_count: f64) -> Duration {
        // Both sums decay alike, so their ratio needs no time.
        let tokens = self.tokens.value(Duration::ZERO);
        if tokens <= 0.0 {
            return Duration::ZERO;
        }
        let s_per_token = self.delays_s.value(Duration::ZERO) / tokens;
        Duration::try_from_secs_f64(s_per_token * tokens_count).unwrap_or(Duration::MAX)
    }
}
