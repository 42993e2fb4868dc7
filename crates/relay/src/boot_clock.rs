//! Clock that keeps running while the machine is suspended.

use {
    rustix::time::{ClockId, clock_gettime},
    std::time::Duration,
};

/// Time since the machine booted, including suspension. Used for leases: a lease keeps expiring
/// while its holder is suspended, so the holder must not use a clock that stops then.
#[must_use]
pub fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
}
