//! A target that can be chosen for a call.

/// A target that can be chosen for a call, as this instance sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Seed of the target's name for rendezvous hashing.
    pub seed: u64,
    /// Number of calls that the target runs concurrently.
    pub slots_count: u32,
    /// Estimated number of calls in flight to the target from all instances.
    pub in_flight_count: f64,
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

    /// Returns the share of the slots that would be in use with one more call.
    #[must_use]
    pub fn load(&self) -> f64 {
        (self.in_flight_count + 1.0) / f64::from(self.slots_count)
    }
}
