//! A clock that counts the time during which the machine was suspended.

use {
    rustix::time::{ClockId, clock_gettime},
    std::time::Duration,
};

/// Time since the machine started, suspension included. Leases are measured by it: a holder that
/// was suspended must not believe that its lease stood still too.
#[must_use]
pub fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
}
