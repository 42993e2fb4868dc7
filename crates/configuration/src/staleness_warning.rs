//! Logs a warning while the configuration has not been confirmed for a long time.

use {crate::FollowerHandle, std::time::Duration, tokio::time::Instant};

/// Age from which a configuration is logged as stale, and minimum interval between two warnings.
const STALE_AGE: Duration = Duration::from_secs(10);

/// Limits the rate of the warning about a stale configuration.
#[derive(Debug)]
pub(crate) struct StalenessWarning {
    started_at: Instant,
    last_logged_at: Option<Instant>,
}

impl StalenessWarning {
    /// Creates the warning. Before the first confirmation, the age counts from now.
    pub(crate) fn new() -> Self {
        Self {
            started_at: Instant::now(),
            last_logged_at: None,
        }
    }

    /// Logs the age of the configuration if it is stale and was not logged recently.
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
