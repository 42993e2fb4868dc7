//! A target that can be chosen for a call.

/// Prompt tokens still to be read at a target that delay a new call about as much as one more running
/// call. Counting calls alone would take a long prompt, which keeps an engine busy as long as many
/// short ones, for one call.
const UNREAD_TOKENS_PER_CALL: f64 = 500.0;

/// A target that can be chosen for a call, as this instance sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Seed of the target's name for rendezvous hashing.
    pub seed: u64,
    /// Number of calls that the target runs concurrently.
    pub slots_count: u32,
    /// Estimated number of calls in flight to the target from all instances.
    pub in_flight_count: f64,
    /// Estimated number of prompt tokens that the target has still to read for these calls; 0 if that
    /// is not known.
    pub unread_tokens_count: f64,
    /// Whether the target is in the preferred failure domain: that of the store that holds the
    /// session, or that of this instance for calls without a session.
    pub in_preferred_domain: bool,
    /// Whether the target is known to hold the whole prefix that the call shares with its session.
    pub has_session_prefix: bool,
}

impl Candidate {
    /// Returns an idle target.
    #[must_use]
    pub fn new(seed: u64, slots_count: u32) -> Self {
        Self {
            seed,
            slots_count: slots_count.max(1),
            in_flight_count: 0.0,
            unread_tokens_count: 0.0,
            in_preferred_domain: false,
            has_session_prefix: false,
        }
    }

    /// Sets the number of calls in flight.
    #[must_use]
    pub fn with_in_flight(mut self, in_flight_count: f64) -> Self {
        self.in_flight_count = in_flight_count;
        self
    }

    /// Sets the number of prompt tokens still to be read for these calls.
    #[must_use]
    pub fn with_unread_tokens(mut self, unread_tokens_count: f64) -> Self {
        self.unread_tokens_count = unread_tokens_count;
        self
    }

    /// Returns the number of running calls whose work is about that of the calls in flight.
    #[must_use]
    pub fn work_count(&self) -> f64 {
        self.in_flight_count + self.unread_tokens_count / UNREAD_TOKENS_PER_CALL
    }

    /// Returns the share of the slots that one more call and the work in flight would take.
    #[must_use]
    pub fn load(&self) -> f64 {
        (self.work_count() + 1.0) / f64::from(self.slots_count)
    }
}
