//! What is known of a call before it runs.

use std::time::Duration;

/// What a call needs, and how urgent it is.
#[derive(Clone, Copy, Debug)]
pub struct CallNeeds<'call> {
    /// Priority of the call's route or client account; 0 is the most urgent.
    pub priority: u8,
    /// Name of the client account; empty if there is none.
    pub account: &'call str,
    /// Work that the call needs: prompt tokens that have to be read, and output tokens.
    pub tokens_count: u32,
    /// Time within which the call should start.
    pub latency_objective: Duration,
    /// Time limit of the call's route.
    pub time_limit: Duration,
    /// Time left until the call's own time limit.
    pub time_left: Duration,
    /// Hash of the request id, which decides where a share of the calls is refused.
    pub draw: u64,
}

impl CallNeeds<'_> {
    /// Work that the call needs, in tokens; at least 1.
    pub(crate) fn work_tokens(&self) -> f64 {
        self.tokens_count.max(1).into()
    }

    /// Largest share of the route's time limit that a call has left when it comes back after a
    /// refusal. Calls that come for the first time often have a little less than all of it.
    const MAX_RETURN_SHARE: f64 = 0.95;

    /// Whether the call seems to come back after a refusal: it has less time left than its route
    /// gives.
    pub(crate) fn is_return(&self) -> bool {
        self.time_left < self.time_limit.mul_f64(Self::MAX_RETURN_SHARE)
    }
}
