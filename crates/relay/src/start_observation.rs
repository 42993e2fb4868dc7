//! Observes for admission control when a call starts at its target.

use {
    crate::{
        attempt::{AttemptOutcome, TargetAnswer},
        relay::Inner,
    },
    routes::PoolId,
    std::{sync::Arc, time::Instant},
};

/// A call that was sent to a target. Dropped before its start, for example because its caller
/// disconnected, it shows that the start takes at least as long.
pub(crate) struct StartObservation<Format> {
    inner: Arc<Inner<Format>>,
    pool: PoolId,
    priority: u8,
    tokens_count: u32,
    /// Calls in flight at the target, this one included.
    target_calls_count: f64,
    sent: Instant,
    is_over: bool,
}

impl<Format> StartObservation<Format> {
    /// Creates the observation of a call that is sent now.
    pub(crate) fn new(
        inner: Arc<Inner<Format>>,
        pool: PoolId,
        priority: u8,
        tokens_count: u32,
        target_calls_count: f64,
    ) -> Self {
        Self {
            inner,
            pool,
            priority,
            tokens_count,
            target_calls_count,
            sent: Instant::now(),
            is_over: false,
        }
    }

    /// Records what the `outcome` of the attempt shows: a target that was silent until it was given up
    /// has not started the call in this time; errors and refusals show nothing of its work.
    pub(crate) fn end(mut self, outcome: &AttemptOutcome<TargetAnswer>) {
        self.is_over = true;
        match outcome {
            AttemptOutcome::Answered(answer) if answer.status.is_success() => {
                self.record(self.tokens_count);
            }
            AttemptOutcome::Unknown {
                disconnected: false,
                ..
            } => self.record(0),
            _ => {}
        }
    }

    /// Records the time since the call was sent; 0 started tokens if it has not started.
    fn record(&self, started_tokens: u32) {
        let now = self.inner.origin.elapsed();
        let delay = self.sent.elapsed();
        self.inner.overload_controls.with(&self.pool, |control| {
            let target_tokens = self.target_calls_count * control.mean_tokens(now);
            if started_tokens > 0 {
                control.record_start(self.priority, started_tokens, target_tokens, delay, now);
            } else {
                control.record_delay(self.priority, target_tokens, delay, now);
            }
        });
    }
}

impl<Format> Drop for StartObservation<Format> {
    fn drop(&mut self) {
        if !self.is_over {
            self.record(0);
        }
    }
}
