//! An entry instance, as its peers see it.

use {
    catalog::{FailureDomainId, InstanceId, RegionId},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Orders updates about an instance: a higher incarnation is newer. An instance starts with its
/// wall clock in milliseconds since the Unix epoch, and raises it to refute wrong updates.
pub type Incarnation = u64;

/// State of an instance. Between updates of the same [`Incarnation`], the later variant wins.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum MemberState {
    /// The instance serves requests.
    #[default]
    Live,
    /// The instance did not answer heartbeats. It gets no work until it refutes this.
    Suspect,
    /// The instance is about to stop, according to itself or to the instance list. It takes no new
    /// work but still answers.
    Leaving,
}

/// One entry instance.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Address to which callers connect.
    pub address: SocketAddr,
    /// Address to which other entry instances connect.
    pub peer_address: SocketAddr,
    /// Region in which it runs.
    pub region: RegionId,
    /// Failure domain in which it runs.
    pub failure_domain: FailureDomainId,
    /// Last known state.
    pub state: MemberState,
    /// Incarnation of that state; 0 if it is known only from the instance list.
    pub incarnation: Incarnation,
}

impl Member {
    /// Whether this update about an instance is newer than `known` about the same instance.
    #[must_use]
    pub fn supersedes(&self, known: &Self) -> bool {
        (self.incarnation, self.state) > (known.incarnation, known.state)
    }

    /// Whether the instance takes new work.
    #[must_use]
    pub fn is_live(&self) -> bool {
        self.state == MemberState::Live
    }
}
