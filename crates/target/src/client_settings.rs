//! Settings of a client of targets.

use std::time::Duration;

/// Timeouts of connections.
#[derive(Clone, Copy, Debug)]
pub struct ClientSettings {
    /// Timeout for opening a connection.
    pub connect_timeout: Duration,
    /// Longest time that a connection may be idle and still be reused. With a shorter timeout,
    /// fewer requests hang on a connection whose state a middlebox on the path has dropped.
    pub idle_timeout: Duration,
    /// Longest time that sent bytes or keep-alive probes may stay unacknowledged before the
    /// connection is closed; `None` keeps the limits of the operating system.
    pub unacknowledged_timeout: Option<Duration>,
}

impl Default for ClientSettings {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(500),
            idle_timeout: Duration::from_secs(2),
            unacknowledged_timeout: None,
        }
    }
}

impl ClientSettings {
    /// Sets the timeout for opening a connection.
    #[must_use]
    pub fn connect_timeout(mut self, timeout: Duration) -> Self {
        self.connect_timeout = timeout;
        self
    }

    /// Sets the longest time that a connection may be idle and still be reused.
    #[must_use]
    pub fn idle_timeout(mut self, timeout: Duration) -> Self {
        self.idle_timeout = timeout;
        self
    }

    /// Sets the longest time that sent bytes may stay unacknowledged.
    #[must_use]
    pub fn unacknowledged_timeout(mut self, timeout: Duration) -> Self {
        self.unacknowledged_timeout = Some(timeout);
        self
    }
}
