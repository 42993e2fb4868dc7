//! The platform's list of live and leaving instances.

use {
    catalog::{FailureDomainId, InstanceId, RegionId},
    serde::{Deserialize, Serialize},
    snafu::Snafu,
    std::{future::Future, net::SocketAddr},
};

/// Whether an instance stays.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// Runs.
    Live,
    /// Will be stopped soon.
    Leaving,
}

/// One entry of the list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Instance {
    /// Name.
    pub name: InstanceId,
    /// `entry` for the system's own instances, else the kind of target.
    pub role: String,
    /// Address that peers or callers connect to.
    pub address: SocketAddr,
    /// Address for calls between entry instances; none for targets.
    #[serde(default)]
    pub peer_address: Option<SocketAddr>,
    /// Region.
    pub region: RegionId,
    /// Failure domain.
    pub failure_domain: FailureDomainId,
    /// Whether it stays.
    pub state: InstanceState,
}

/// The list could not be read.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(
    visibility(pub),
    display("instance list cannot be read: {reason}; check --instance-list")
)]
pub struct InstanceListError {
    /// What went wrong.
    pub reason: String,
}

/// The platform's list of instances; it lags behind.
pub trait InstanceList: Clone + Send + Sync + 'static {
    /// All instances that the list shows now.
    fn instances(&self) -> impl Future<Output = Result<Vec<Instance>, InstanceListError>> + Send;
}
