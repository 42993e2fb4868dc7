//! Targets: model engines, store instances and plain services.

use {
    crate::{FailureDomainId, Labels, RegionId, TargetId},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// What a target is.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetKind {
    /// Runs model versions and keeps KV cache in limited memory.
    Engine,
    /// Keeps exported KV cache behind a limited link.
    Store,
    /// A plain HTTP service beside the engines.
    Service,
}

/// One call of a plain service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceCall {
    /// Path below the service, with a leading slash.
    pub path: String,
    /// Whether the call may be repeated without further effect.
    pub idempotent: bool,
}

/// One target.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Target {
    /// Name, unique among targets; equal to its name in the instance list.
    pub name: TargetId,
    /// What the target is.
    pub kind: TargetKind,
    /// IP address and port.
    pub address: SocketAddr,
    /// Region the target runs in.
    pub region: RegionId,
    /// Failure domain the target runs in.
    pub failure_domain: FailureDomainId,
    /// Labels that placement rules select by.
    #[serde(default)]
    pub labels: Labels,
    /// Whether the target takes no new work.
    #[serde(default)]
    pub leaving: bool,
    /// Whether the target refuses an order with an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Requests the target runs at once before it queues.
    pub max_running_count: u32,
    /// Link rate towards stores (engines) or engines (stores) in bytes a second; 0 for services.
    #[serde(default)]
    pub link_bytes_per_s: u64,
    /// Capacity for exported blocks in bytes; 0 unless a store.
    #[serde(default)]
    pub capacity_bytes: u64,
    /// Name of the plain service this target serves; empty unless a service.
    #[serde(default)]
    pub service: String,
    /// Calls of the plain service. A call not listed is treated as not idempotent.
    #[serde(default)]
    pub calls: Vec<ServiceCall>,
}
