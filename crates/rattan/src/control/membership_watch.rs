//! Follows the membership of entry instances, and takes newer configuration from them.

use {
    cluster::{Cluster, Member, MemberState},
    configuration::{FollowerHandle, Snapshot},
    keyvalue::{Instance, InstanceState},
    serving::AdmissionQueue,
    std::{sync::Arc, time::Duration},
    tokio::{
        sync::watch,
        time::{sleep, timeout},
    },
    tokio_util::sync::CancellationToken,
};

/// Role of entry instances in the instance list.
const ENTRY_ROLE: &str = "entry";
/// Longest wait for the first instance list.
pub(crate) const FIRST_LIST_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between two rounds of applying the instance list and asking peers for configuration.
const ROUND_INTERVAL: Duration = Duration::from_millis(250);
/// Rounds after the start by which all reachable peers have been asked for their configuration.
const STARTUP_ROUNDS_COUNT: u32 = 8;

/// Follows the membership of entry instances until dropped.
#[derive(Clone)]
pub(crate) struct MembershipWatch {
    pub(crate) cluster: Arc<Cluster>,
    pub(crate) instances: Arc<watch::Sender<Vec<Instance>>>,
    pub(crate) configuration: FollowerHandle,
    pub(crate) admission: AdmissionQueue,
}

impl MembershipWatch {
    /// Sends heartbeats, applies the instance list and takes newer configuration from peers.
    ///
    /// Heartbeats start once the list has been read, so that the first ones reach the peers.
    pub(crate) async fn run(self) {
        let mut listed = self.instances.subscribe();
        let _ = timeout(FIRST_LIST_TIMEOUT, listed.wait_for(|list| !list.is_empty())).await;
        drop(listed);
        self.apply_instance_list();
        tokio::join!(self.cluster.run(CancellationToken::new()), self.follow());
    }

    async fn follow(&self) {
        let mut rounds_count = 0;
        loop {
            self.apply_instance_list();
            self.fetch_newer_configuration().await;
            if rounds_count == STARTUP_ROUNDS_COUNT {
                self.configuration.mark_peers_asked();
            }
            rounds_count += 1;
            sleep(ROUND_INTERVAL).await;
        }
    }

    fn apply_instance_list(&self) {
        let listed: Vec<Member> = self
            .instances
            .borrow()
            .iter()
            .filter_map(entry_member)
            .collect();
        if !listed.is_empty() {
            self.cluster.apply_instance_list(&listed);
        }
        let own = self.cluster.own_member().instance;
        self.admission.set_members(&own, &self.cluster.members());
    }

    /// Fetches the configuration from a peer if it has a newer one, which happens while this
    /// instance cannot reach the key-value service.
    async fn fetch_newer_configuration(&self) {
        let revision = self.configuration.status().revision;
        self.cluster.set_revision(revision);
        let Some((newest, peer)) = self.cluster.newest_revision() else {
            return;
        };
        if newest <= revision {
            return;
        }
        let asked = self.cluster.peers().catalog(peer.peer_address, revision);
        match asked.await {
            Ok(Some(copy)) => self.offer_configuration(&peer, &copy.body),
            Ok(None) => {}
            Err(error) => log::debug!(
                "configuration of {} cannot be fetched: {error}",
                peer.instance
            ),
        }
    }

    fn offer_configuration(&self, peer: &Member, body: &[u8]) {
        match Snapshot::from_json(body) {
            Ok((snapshot, confirmed_age)) => {
                if self.configuration.offer(snapshot, confirmed_age) {
                    log::info!("configuration taken from {}", peer.instance);
                }
            }
            Err(error) => log::warn!(
                "configuration of {} cannot be parsed: {error}",
                peer.instance
            ),
        }
    }
}

fn entry_member(instance: &Instance) -> Option<Member> {
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
