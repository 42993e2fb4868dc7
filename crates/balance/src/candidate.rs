//! A target that may get a call.

/// A target that may get a call, as this instance sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Rendezvous seed of the target's name.
    pub seed: u64,
    /// Calls that the target runs at once.
    pub slots_count: u32,
    /// Calls under way there, of all instances, as estimated.
    pub in_flight_count: f64,
    /// Whether it stands in the failure domain of what the call needs: of the store that holds its
    /// session, else of this instance.
    pub in_preferred_domain: bool,
    /// Whether the target is known to keep all that the call shares with its session.
    pub has_session_prefix: bool,
}

impl Candidate {
    /// An idle target.
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

    /// Sets the calls under way.
    #[must_use]
    pub fn with_in_flight(mut self, in_flight_count: f64) -> Self {
        self.in_flight_count = in_flight_count;
        self
    }

    /// Share of the slots that would be taken with one more call.
    #[must_use]
    pub fn load(&self) -> f64 {
        (self.in_flight_count + 1.0) / f64::from(self.slots_count)
    }
}
