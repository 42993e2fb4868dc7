//! Settings of the model engine.

use std::{
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

/// Settings of the model engine.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Digest of the weights loaded at the start.
    pub version: String,
    /// Capacity of the prefix cache in prompt tokens.
    pub memory_tokens: u64,
    /// Prompt tokens per piece, which is also the size of a block.
    pub piece_tokens: u64,
    /// Prompt tokens computed per second.
    pub prefill_tokens_per_s: u64,
    /// Time between two answer tokens of a run.
    pub token_time: Duration,
    /// Most runs that are active at once.
    pub max_running_count: usize,
    /// Most runs that wait; beyond that a completion is answered with `503`.
    pub max_queued_count: usize,
    /// Time to load a version when `weights` is `None`.
    pub load_time: Duration,
    /// Lag of the load report.
    pub load_lag: Duration,
    /// Age at which cache events become visible, in milliseconds.
    pub events_delay_ms: u64,
    /// Whether orders with an outdated fencing number are refused.
    pub checks_fencing: bool,
    /// Size of one token's KV cache in bytes.
    pub kv_bytes_per_token: u64,
    /// Rate of the link for exports and imports in bytes per second; 0 means no limit.
    pub link_bytes_per_s: u64,
    /// Address of the weight store to load versions from.
    pub weights: Option<SocketAddr>,
    /// Factor applied to every simulated delay; 0.1 is ten times as fast.
    pub time_scale: f64,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            listen: (Ipv4Addr::LOCALHOST, 0).into(),
            version: "v1".to_owned(),
            memory_tokens: 200_000,
            piece_tokens: 2_000,
            prefill_tokens_per_s: 20_000,
            token_time: Duration::from_millis(20),
            max_running_count: 16,
            max_queued_count: 256,
            load_time: Duration::from_millis(400),
            load_lag: Duration::ZERO,
            events_delay_ms: 0,
            checks_fencing: false,
            kv_bytes_per_token: 16,
            link_bytes_per_s: 0,
            weights: None,
            time_scale: 1.0,
        }
    }
}

impl EngineSettings {
    /// `duration` multiplied by the time scale.
    #[must_use]
    pub fn scaled(&self, duration: Duration) -> Duration {
        duration.mul_f64(self.time_scale)
    }

    /// Time to compute this many prompt tokens, multiplied by the time scale.
    #[must_use]
    pub fn prefill_time(&self, tokens: u64) -> Duration {
        let micros = tokens.saturating_mul(1_000_000) / self.prefill_tokens_per_s.max(1);
        self.scaled(Duration::from_micros(micros))
    }

    /// Size of one whole block in bytes.
    #[must_use]
    pub fn block_bytes(&self) -> u64 {
        self.kv_bytes_per_token * self.piece_tokens
    }
}
