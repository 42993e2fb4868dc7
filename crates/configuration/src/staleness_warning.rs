//! Tells in the log when the configuration was not confirmed for long.

use {crate::FollowerHandle, std::time::Duration, tokio::time::Instant};

/// Age above which the log says so, and time between two such lines.
const STALE_AGE: Duration = Duration::from_secs(10);

/// Remembers when it last told.
#[derive(Debug)]
pub(crate) struct StalenessWarning {
    started_at: Instant,
    last_logged_at: Option<Instant>,
}

impl StalenessWarning {
    /// An alarm that has told nothing yet.
    pub(crate) fn new() -> Self {
        Self {
            started_at: Instant::now(),
            last_logged_at: None,
        }
    }

    /// Logs the age of the configuration if it is high and was not logged just now.
    pub(crate) fn log_if_stale(&mut self, handle: &FollowerHandle) {
        let status = handle.status();
        let age = status
            .confirmed_age
            .unwrap_or_else(|| self.started_at.elapsed());
        let logged_recently = self
            .last_logged_at
            .is_some_and(|at| at.elapsed() < STALE_AGE);
        if age < STALE_AGE || logged_recently {
            return;
        }
        self.last_logged_at = Some(Instant::now());
        log::warn!(
            "configuration revision {} (0: none) was last confirmed {} s ago and stays in force; \
             check the key-value service and --kv-endpoints",
            status.revision,
            age.as_secs()
        );
    }
}
