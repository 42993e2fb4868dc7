//! When each instance calls the key-value service after that came back from an older copy.

use std::time::Duration;

/// Longest delay between two instances that read everything again.
const READ_STEP: Duration = Duration::from_millis(4);
/// Time within which all instances read everything again.
const MAX_READ_DELAY: Duration = Duration::from_millis(1_300);
/// Longest delay between two instances that register again.
const REGISTRATION_STEP: Duration = Duration::from_millis(6);
/// Time within which all instances register again. With a third of a lease's time to live, in which each
/// instance learns of the return, shorter than others keep one that is not registered.
const MAX_REGISTRATION_DELAY: Duration = Duration::from_millis(1_700);

/// The place of an instance among those that call the service one after the other.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReturnPace {
    /// Number of ready instances that precede it in name order.
    pub rank: u32,
    /// Number of ready instances.
    pub instances_count: u32,
}

impl ReturnPace {
    /// Delay before this instance reads everything again.
    #[must_use]
    pub fn read_delay(self) -> Duration {
        self.delay(READ_STEP, MAX_READ_DELAY)
    }

    /// Delay before this instance registers again.
    #[must_use]
    pub fn registration_delay(self) -> Duration {
        self.delay(REGISTRATION_STEP, MAX_REGISTRATION_DELAY)
    }

    fn delay(self, step: Duration, max: Duration) -> Duration {
        let step = step.min(max / self.instances_count.max(1));
        step.saturating_mul(self.rank).min(max)
    }
}
