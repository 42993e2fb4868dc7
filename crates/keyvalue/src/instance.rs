//! The platform's list of live and leaving instances: entries, error and reading trait.

use {
    catalog::{FailureDomainId, InstanceId, RegionId},
    serde::{Deserialize, Serialize},
    snafu::Snafu,
    std::{future::Future, net::SocketAddr},
};

/// Whether an instance keeps running.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// The instance runs.
    Live,
    /// The instance will be stopped soon.
    Leaving,
}

/// One instance in the list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Instance {
    /// Name of the instance.
    pub name: InstanceId,
    /// `entry` for the system's own instances, else the kind of target.
    pub role: String,
    /// Address that callers or peers connect to.
    pub address: SocketAddr,
    /// Address for calls between entry instances; `None` for targets.
    #[serde(default)]
    pub peer_address: Option<SocketAddr>,
    /// Region that the instance runs in.
    pub region: RegionId,
    /// Failure domain that the instance runs in.
    pub failure_domain: FailureDomainId,
    /// Whether the instance keeps running.
    pub state: InstanceState,
}

/// The instance list could not be read.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(
    visibility(pub),
    display("instance list cannot be read: {reason}; check --instance-list")
)]
pub struct InstanceListError {
    /// What went wrong.
    pub reason: String,
}

/// The platform's list of instances. It may lag behind the actual instances.
pub trait InstanceList: Clone + Send + Sync + 'static {
    /// Reads all instances currently in the list.
    fn instances(&self) -> impl Future<Output = Result<Vec<Instance>, InstanceListError>> + Send;
}
