//! A simulated network link with a limited rate.

use {
    crate::sync::lock,
    std::{
        sync::{
            Mutex,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::time::{Instant, sleep_until},
};

/// Bytes per reservation of the link; a changed rate applies from the next one.
const CHUNK_BYTES: u64 = 64 * 1024;

/// A link with a limited total rate. Concurrent transfers queue for it chunk by chunk.
#[derive(Debug)]
pub struct Link {
    bytes_per_s: AtomicU64,
    time_scale: f64,
    carried_bytes: AtomicU64,
    /// End of the last reservation.
    free_at: Mutex<Instant>,
}

impl Link {
    /// Creates an idle link. A rate of 0 means no limit; `time_scale` multiplies every transfer
    /// time.
    #[must_use]
    pub fn new(bytes_per_s: u64, time_scale: f64) -> Self {
        Self {
            bytes_per_s: AtomicU64::new(bytes_per_s),
            time_scale,
            carried_bytes: AtomicU64::new(0),
            free_at: Mutex::new(Instant::now()),
        }
    }

    /// Rate in bytes per second; 0 means no limit.
    #[must_use]
    pub fn bytes_per_s(&self) -> u64 {
        self.bytes_per_s.load(Ordering::Relaxed)
    }

    /// Changes the rate. Active transfers adopt it from their next chunk on.
    pub fn set_bytes_per_s(&self, bytes_per_s: u64) {
        self.bytes_per_s.store(bytes_per_s, Ordering::Relaxed);
    }

    /// Bytes transferred since the start.
    #[must_use]
    pub fn carried_bytes(&self) -> u64 {
        self.carried_bytes.load(Ordering::Relaxed)
    }

    /// Estimated bytes that are queued or being transferred, from the reserved time.
    #[must_use]
    pub fn queued_bytes(&self) -> u64 {
        let free_at = *lock(&self.free_at);
        let wait = free_at.saturating_duration_since(Instant::now());
        let scaled = wait.as_secs_f64() / self.time_scale.max(f64::MIN_POSITIVE);
        as_u64(scaled * as_f64(self.bytes_per_s()))
    }

    /// Waits for as long as transferring `bytes` takes, including the wait for earlier
    /// reservations.
    pub async fn transfer(&self, bytes: u64) {
        let mut remaining_bytes = bytes;
        while remaining_bytes > 0 {
            let chunk = remaining_bytes.min(CHUNK_BYTES);
            sleep_until(self.reserve(chunk)).await;
            self.carried_bytes.fetch_add(chunk, Ordering::Relaxed);
            remaining_bytes -= chunk;
        }
    }

    /// Reserves time on the link for `bytes` and returns its end.
    fn reserve(&self, bytes: u64) -> Instant {
        let now = Instant::now();
        let rate = self.bytes_per_s();
        if rate == 0 {
            return now;
        }
        let seconds = as_f64(bytes) / as_f64(rate) * self.time_scale;
        let mut free_at = lock(&self.free_at);
        *free_at = (*free_at).max(now) + Duration::from_secs_f64(seconds);
        *free_at
    }
}

#[allow(clippy::cast_precision_loss)]
fn as_f64(count: u64) -> f64 {
    count as f64
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn as_u64(count: f64) -> u64 {
    count as u64
}
