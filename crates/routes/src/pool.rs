//! Groups of targets that run the same calls.

use std::{net::SocketAddr, time::Duration};

/// Name of a pool.
pub type PoolId = String;

/// What the targets of a pool are.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum PoolKind {
    /// Plain services.
    #[default]
    Service,
    /// Model engines.
    Engine(EngineProperties),
    /// One store of prompt state.
    Store(StoreProperties),
}

/// What the engines of a pool have in common.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineProperties {
    /// Requests that an engine runs at once.
    pub slots_count: u32,
    /// Memory of an engine, in tokens.
    pub memory_tokens: u64,
    /// Bytes of one token's state.
    pub bytes_per_token: u64,
    /// Rate of an engine's link, in bits a second.
    pub link_bits_per_s: f64,
    /// Models that the engines run.
    pub models: Vec<String>,
}

/// A store of prompt state.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreProperties {
    /// Address.
    pub address: SocketAddr,
    /// Failure domain that it stands in.
    pub failure_domain: String,
    /// Room, in tokens.
    pub capacity_tokens: u64,
    /// Rate of its link, in bits a second.
    pub link_bits_per_s: f64,
    /// Time that a transfer takes besides the time on the link.
    pub transfer_latency: Duration,
    /// Whether it keeps everything until it is told to free it.
    pub managed: bool,
}

/// A group of targets that run the same calls.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Pool {
    /// Name.
    pub name: PoolId,
    /// What its targets are.
    pub kind: PoolKind,
    /// Connections that one target accepts from all callers together; none if not stated.
    pub max_connections: Option<u32>,
}
