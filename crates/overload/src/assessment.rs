//! The decision on a call, and what it is based on.

use std::time::Duration;

/// Why a call is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalCause {
    /// The call would not start at any target before its time limit.
    CannotStart,
    /// Too many calls wait for all to start within their objectives, and this one is among those that
    /// cost callers least.
    Pressure,
}

/// What becomes of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The call is sent to a target.
    Run,
    /// The call is refused.
    Refuse {
        /// Why.
        cause: RefusalCause,
        /// Delay after which the caller should retry.
        retry_after: Duration,
    },
}

/// A decision with the state of the pool that it follows from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Assessment {
    /// What becomes of the call.
    pub decision: Decision,
    /// Predicted start delay at the mean target, relative to the latency objective, averaged over the
    /// priorities by their admitted calls. Calls are refused from [`Assessment::MIN_PRESSURE`] on.
    pub pressure: f64,
    /// Predicted start delay of the call at the target with the fewest tokens in flight.
    pub predicted_start: Duration,
}

impl Assessment {
    /// Pressure from which calls are refused, as a share of the latency objective.
    pub const MIN_PRESSURE: f64 = 0.5;
}
