//! Runs the membership protocol over sockets.

use {
    crate::{Heartbeat, HeartbeatAck, Member, Members, Membership, Peers},
    arc_swap::ArcSwap,
    catalog::Revision,
    futures::{StreamExt, stream},
    std::{
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
    tokio::{
        sync::watch,
        time::{self, MissedTickBehavior},
    },
    tokio_util::sync::CancellationToken,
};

/// Interval between two rounds of heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of concurrent heartbeats when this instance announces that it is leaving.
const MAX_IN_FLIGHT_ANNOUNCEMENTS_COUNT: usize = 16;

/// This instance's view of the membership, updated by heartbeats, and the pool for calls to peers.
///
/// [`Cluster::members`] returns a snapshot that any thread may read at any time.
#[derive(Debug)]
pub struct Cluster {
    membership: Mutex<Membership>,
    members: ArcSwap<Members>,
    changes: watch::Sender<Arc<Members>>,
    peers: Peers,
}

impl Cluster {
    /// Creates a cluster that knows only this instance.
    #[must_use]
    pub fn new(own: Member, peers: Peers) -> Self {
        let membership = Membership::new(own);
        let members = Arc::new(membership.members());
        Self {
            membership: Mutex::new(membership),
            members: ArcSwap::new(members.clone()),
            changes: watch::Sender::new(members),
            peers,
        }
    }

    /// The current view of the members.
    #[must_use]
    pub fn members(&self) -> Arc<Members> {
        self.members.load_full()
    }

    /// Subscribes to changes of the view, for example to start a handoff.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Arc<Members>> {
        self.changes.subscribe()
    }

    /// The pool for calls to peers.
    #[must_use]
    pub fn peers(&self) -> &Peers {
        &self.peers
    }

    /// This instance, as announced to its peers.
    #[must_use]
    pub fn own_member(&self) -> Member {
        self.membership().own_member().clone()
    }

    /// Applies the instance list. `listed` has its entry instances, with incarnation 0.
    pub fn apply_instance_list(&self, listed: &[Member]) {
        self.membership()
            .apply_instance_list(listed, Instant::now());
        self.publish_if_changed();
    }

    /// Sets the configuration revision that heartbeats announce.
    pub fn set_revision(&self, revision: Revision) {
        self.membership().set_revision(revision);
    }

    /// The highest configuration revision in force at any peer, and that peer.
    #[must_use]
    pub fn newest_revision(&self) -> Option<(Revision, Member)> {
        self.membership()
            .newest_revision()
            .map(|(revision, member)| (revision, member.clone()))
    }

    /// Applies a peer's heartbeat and returns the answer to it.
    #[must_use]
    pub fn handle_heartbeat(&self, heartbeat: &Heartbeat) -> HeartbeatAck {
        let ack = self
            .membership()
            .handle_heartbeat(heartbeat, Instant::now());
        self.publish_if_changed();
        ack
    }

    /// Announces that this instance is leaving: at once to all live members of its region, and with
    /// the next rounds of heartbeats to all others.
    pub async fn leave(&self) {
        self.membership().leave();
        self.publish_if_changed();
        let own = self.own_member();
        let members = self.members();
        let recipients = members.iter().filter(|member| {
            member.is_live() && member.region == own.region && member.instance != own.instance
        });
        stream::iter(recipients)
            .for_each_concurrent(MAX_IN_FLIGHT_ANNOUNCEMENTS_COUNT, |peer| {
                self.send_heartbeat(peer)
            })
            .await;
    }

    /// Sends heartbeats once a second until `token` is cancelled.
    pub async fn run(&self, token: CancellationToken) {
        let mut rounds = time::interval(HEARTBEAT_INTERVAL);
        rounds.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                () = token.cancelled() => return,
                _ = rounds.tick() => {}
            }
            tokio::select! {
                () = token.cancelled() => return,
                () = self.heartbeat_round() => {}
            }
        }
    }

    async fn heartbeat_round(&self) {
        let chosen = self
            .membership()
            .begin_round(Instant::now(), &mut rand::rng());
        stream::iter(&chosen)
            .for_each_concurrent(None, |peer| self.send_heartbeat(peer))
            .await;
        self.publish_if_changed();
        self.peers.close_idle().await;
    }

    async fn send_heartbeat(&self, peer: &Member) {
        let heartbeat = self.membership().heartbeat_for(peer);
        match self.peers.heartbeat(peer.peer_address, heartbeat).await {
            Ok(ack) => self.membership().handle_ack(&ack, Instant::now()),
            Err(error) => {
                log::debug!("heartbeat to {} failed: {error}", peer.instance);
                self.membership().record_unanswered(&peer.instance);
            }
        }
    }

    /// Publishes the current view to readers and subscribers if it changed.
    fn publish_if_changed(&self) {
        let mut membership = self.membership();
        if !membership.take_changed() {
            return;
        }
        let members = Arc::new(membership.members());
        self.members.store(members.clone());
        // Sent while holding the lock, so that views are published in order.
        self.changes.send_replace(members);
    }

    fn membership(&self) -> MutexGuard<'_, Membership> {
        self.membership
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
