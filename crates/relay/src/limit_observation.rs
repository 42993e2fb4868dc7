//! What answers of a target said of its limit.

use std::time::Duration;

/// What a target's last answer to this instance said of a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitObservation {
    /// The limit in calls per second of all instances together; `None` if the answer stated none.
    pub limit_per_s: Option<f64>,
    /// When the answer came, by [`crate::boot_time`].
    pub answered_at: Duration,
}
