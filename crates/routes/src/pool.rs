//! Pools: groups of targets that serve the same calls.

use std::{net::SocketAddr, time::Duration};

/// Name of a pool.
pub type PoolId = String;

/// Kind of the targets in a pool.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum PoolKind {
    /// Plain HTTP services.
    #[default]
    Service,
    /// Engines that run models.
    Engine(EngineProperties),
    /// A store of cached prompt parts.
    Store(StoreProperties),
}

/// Properties shared by all engines of a pool.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineProperties {
    /// Number of requests that an engine runs concurrently.
    pub slots_count: u32,
    /// Cache memory of an engine, in tokens.
    pub memory_tokens: u64,
    /// Size of one token's cached state, in bytes.
    pub bytes_per_token: u64,
    /// Bandwidth of an engine's network link, in bits per second.
    pub link_bits_per_s: f64,
    /// Names of the models that the engines run.
    pub models: Vec<String>,
}

/// Properties of a store of cached prompt parts.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreProperties {
    /// Address of the store.
    pub address: SocketAddr,
    /// Failure domain that the store is in.
    pub failure_domain: String,
    /// Capacity, in tokens.
    pub capacity_tokens: u64,
    /// Bandwidth of the store's network link, in bits per second.
    pub link_bits_per_s: f64,
    /// Fixed latency of a transfer, in addition to the time on the link.
    pub transfer_latency: Duration,
    /// Whether the store keeps every part until told to free it, instead of evicting on its own.
    pub managed: bool,
}

/// A group of targets that serve the same calls.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Pool {
    /// Name, unique in its configuration.
    pub name: PoolId,
    /// Kind of the targets.
    pub kind: PoolKind,
    /// Path of the targets' health check, which names the target that answers; empty if not stated.
    pub health_path: String,
    /// Maximum number of connections that one target accepts from all callers together; `None` if
    /// not stated.
    pub max_connections: Option<u32>,
    /// Calls per second that one target bears from all callers together while it is cold, finite and
    /// not negative; `None` if not stated.
    pub cold_calls_per_s: Option<f64>,
}
