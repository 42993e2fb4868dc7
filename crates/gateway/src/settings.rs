//! Listening address and limits of the gateway.

use std::{net::SocketAddr, time::Duration};

/// Listening address and limits of the gateway.
#[derive(Clone, Copy, Debug)]
pub struct GatewaySettings {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Largest request head in bytes; at least 8192.
    pub max_head_bytes: usize,
    /// Largest request body in bytes.
    pub max_body_bytes: usize,
    /// Largest number of open connections. Further ones get status 503 and are closed.
    pub max_connections_count: usize,
    /// Longest time to receive a request's head.
    pub head_timeout: Duration,
    /// Longest time to receive a request's body.
    pub body_timeout: Duration,
}

impl Default for GatewaySettings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            max_head_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            max_connections_count: 4_096,
            head_timeout: Duration::from_secs(10),
            body_timeout: Duration::from_secs(30),
        }
    }
}

impl GatewaySettings {
    /// Sets the address to listen on.
    #[must_use]
    pub fn listen(mut self, listen: SocketAddr) -> Self {
        self.listen = listen;
        self
    }

    /// Sets the largest request body in bytes.
    #[must_use]
    pub fn max_body_bytes(mut self, max_body_bytes: usize) -> Self {
        self.max_body_bytes = max_body_bytes;
        self
    }

    /// Sets the largest number of open connections.
    #[must_use]
    pub fn max_connections_count(mut self, max_connections_count: usize) -> Self {
        self.max_connections_count = max_connections_count;
        self
    }

    /// Sets the longest time to receive a request's head.
    #[must_use]
    pub fn head_timeout(mut self, head_timeout: Duration) -> Self {
        self.head_timeout = head_timeout;
        self
    }

    /// Sets the longest time to receive a request's body.
    #[must_use]
    pub fn body_timeout(mut self, body_timeout: Duration) -> Self {
        self.body_timeout = body_timeout;
        self
    }
}
