//! Follows which entry instances there are.

use {
    crate::daemon::lock,
    arc_swap::ArcSwap,
    cluster::{Member, MemberState, Members, Membership},
    platform::{Instance, InstanceState},
    std::{
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

/// Role of entry instances in the instance list.
const ENTRY_ROLE: &str = "entry";
/// Time between two rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(200);

/// Follows which entry instances there are, until dropped.
#[derive(Clone)]
pub(crate) struct MembershipWatch {
    pub(crate) membership: Arc<Mutex<Membership>>,
    pub(crate) instances: Arc<ArcSwap<Vec<Instance>>>,
    pub(crate) members: Arc<ArcSwap<Members>>,
}

impl MembershipWatch {
    /// Takes over the instance list and publishes the members.
    pub(crate) async fn run(self) {
        loop {
            self.take_list();
            sleep(ROUND_INTERVAL).await;
        }
    }

    fn take_list(&self) {
        let instances = self.instances.load_full();
        let listed: Vec<Member> = instances.iter().filter_map(member).collect();
        let mut membership = lock(&self.membership);
        if !instances.is_empty() {
            membership.list(&listed, Instant::now());
        }
        if membership.take_changed() {
            self.members.store(Arc::new(membership.members()));
        }
    }
}

fn member(instance: &Instance) -> Option<Member> {
    if instance.role != ENTRY_ROLE {
        return None;
    }
    Some(Member {
        instance: instance.name.clone(),
        address: instance.address,
        peer_address: instance.peer_address?,
        region: instance.region.clone(),
        failure_domain: instance.failure_domain.clone(),
        state: match instance.state {
            InstanceState::Live => MemberState::Live,
            InstanceState::Leaving => MemberState::Leaving,
        },
        incarnation: 0,
    })
}
