//! One entry instance as its peers see it.

use {
    catalog::{FailureDomainId, InstanceId, RegionId},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Distinguishes statements about an instance: the higher one is newer. An instance starts with
/// its wall clock in milliseconds since the Unix epoch and raises it to correct its peers.
pub type Incarnation = u64;

/// What is known of an instance. At the same [`Incarnation`] the later variant wins.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum MemberState {
    /// Serves.
    #[default]
    Live,
    /// Did not answer; skipped until it says otherwise.
    Suspect,
    /// Says that it will stop soon, or the instance list says so. Takes no new work, still answers.
    Leaving,
}

/// One entry instance.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Name.
    pub instance: InstanceId,
    /// Address that callers connect to.
    pub address: SocketAddr,
    /// Address that other entry instances connect to.
    pub peer_address: SocketAddr,
    /// Region.
    pub region: RegionId,
    /// Failure domain.
    pub failure_domain: FailureDomainId,
    /// What is known of it.
    pub state: MemberState,
    /// Age of that statement; 0 if only the instance list was read.
    pub incarnation: Incarnation,
}

impl Member {
    /// Whether this statement replaces `known` about the same instance.
    #[must_use]
    pub fn supersedes(&self, known: &Self) -> bool {
        (self.incarnation, self.state) > (known.incarnation, known.state)
    }

    /// Whether the instance takes work.
    #[must_use]
    pub fn is_live(&self) -> bool {
        self.state == MemberState::Live
    }
}
