//! Membership protocol: tracks entry instances from the instance list and from heartbeats.

use {
    crate::{
        Heartbeat, HeartbeatAck, Incarnation, Member, MemberState, Members,
        peer_rotation::{MembersByName, PeerRotation},
        update_queue::UpdateQueue,
    },
    catalog::{InstanceId, Revision},
    rand::Rng,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
};

/// Time after the last message from an instance until it is suspected, if heartbeats to it stay
/// unanswered.
pub const SUSPECT_AFTER: Duration = Duration::from_secs(3);
/// Number of consecutive unanswered heartbeats before an instance is suspected.
const MIN_UNANSWERED_COUNT: u32 = 2;
/// Time for which late updates about a removed instance are ignored.
const REMOVED_RETENTION: Duration = Duration::from_mins(1);
/// Number of peers that get a heartbeat in one round.
pub const HEARTBEAT_PEERS_COUNT: usize = 3;
/// Of these, the number reserved for peers of other regions.
const REMOTE_PEERS_COUNT: usize = 1;
/// Of these, the maximum number of peers that did not answer their last heartbeat.
const UNANSWERED_PEERS_COUNT: usize = 1;

/// What this instance knows about one peer.
#[derive(Clone, Debug)]
struct PeerRecord {
    member: Member,
    /// Time of the last message from the instance itself.
    last_seen: Instant,
    unanswered_count: u32,
    /// Highest configuration revision that the instance announced; 0 if none.
    revision: Revision,
    /// Whether the instance list contains it.
    is_listed: bool,
}

/// Membership state machine of one instance. Callers pass the time and the random numbers.
#[derive(Clone, Debug)]
pub struct Membership {
    own: Member,
    revision: Revision,
    peer_records: BTreeMap<InstanceId, PeerRecord>,
    updates: UpdateQueue,
    removed: BTreeMap<InstanceId, (Incarnation, Instant)>,
    /// Heartbeat order of the peers of this region.
    local_rotation: PeerRotation,
    /// Heartbeat order of the peers of other regions.
    remote_rotation: PeerRotation,
    joining: bool,
    changed: bool,
}

impl Membership {
    /// Creates the state of an instance that knows only itself.
    #[must_use]
    pub fn new(own: Member) -> Self {
        Self {
            own,
            revision: 0,
            peer_records: BTreeMap::new(),
            updates: UpdateQueue::default(),
            removed: BTreeMap::new(),
            local_rotation: PeerRotation::default(),
            remote_rotation: PeerRotation::default(),
            joining: true,
            changed: true,
        }
    }

    /// This instance.
    #[must_use]
    pub fn own_member(&self) -> &Member {
        &self.own
    }

    /// Sets the configuration revision that heartbeats announce.
    pub fn set_revision(&mut self, revision: Revision) {
        self.revision = revision;
    }

    /// Marks this instance as leaving; heartbeats announce this from now on.
    pub fn leave(&mut self) {
        self.own.state = MemberState::Leaving;
        self.changed = true;
    }

    /// Applies the instance list. New instances in it are added, and instances that it marks as
    /// leaving become leaving. Instances that are no longer in it are removed once they stop
    /// answering too.
    pub fn apply_instance_list(&mut self, listed: &[Member], now: Instant) {
        let names: BTreeSet<&InstanceId> = listed.iter().map(|member| &member.instance).collect();
        for (instance, known) in &mut self.peer_records {
            known.is_listed = names.contains(instance);
        }
        for member in listed {
            self.apply_listed_member(member, now);
        }
        self.remove_departed(now);
    }

    /// Starts a round, once a second. Marks unresponsive peers as suspect and returns the peers
    /// that get a heartbeat now. Every peer gets one before any peer gets a second one.
    pub fn begin_round<Random>(&mut self, now: Instant, random: &mut Random) -> Vec<Member>
    where
        Random: Rng,
    {
        self.suspect_unresponsive(now);
        self.remove_departed(now);
        let mut chosen = self.unanswered_peers();
        let mut rotation = std::mem::take(&mut self.local_rotation);
        let local_peers_count = HEARTBEAT_PEERS_COUNT - REMOTE_PEERS_COUNT;
        rotation.fill(&mut chosen, local_peers_count, &self.peers(true), random);
        self.local_rotation = rotation;
        let mut rotation = std::mem::take(&mut self.remote_rotation);
        rotation.fill(
            &mut chosen,
            HEARTBEAT_PEERS_COUNT,
            &self.peers(false),
            random,
        );
        self.remote_rotation = rotation;
        chosen
    }

    /// Returns the next heartbeat for `to`. If `to` is suspected, the heartbeat says so, which lets
    /// it refute the suspicion.
    pub fn heartbeat_for(&mut self, to: &Member) -> Heartbeat {
        Heartbeat {
            from: self.own.clone(),
            revision: self.revision,
            joining: self.joining,
            updates: self.updates_for(&to.instance),
        }
    }

    /// Applies a peer's heartbeat and returns the answer to it.
    pub fn handle_heartbeat(&mut self, heartbeat: &Heartbeat, now: Instant) -> HeartbeatAck {
        self.apply_message(&heartbeat.from, heartbeat.revision, &heartbeat.updates, now);
        let updates = if heartbeat.joining {
            self.peer_records
                .values()
                .map(|known| known.member.clone())
                .collect()
        } else {
            self.updates_for(&heartbeat.from.instance)
        };
        HeartbeatAck {
            from: self.own.clone(),
            revision: self.revision,
            updates,
        }
    }

    /// Applies the answer to a heartbeat.
    pub fn handle_ack(&mut self, ack: &HeartbeatAck, now: Instant) {
        self.joining = false;
        self.apply_message(&ack.from, ack.revision, &ack.updates, now);
    }

    /// Records that `instance` did not answer a heartbeat, also not on a new connection.
    pub fn record_unanswered(&mut self, instance: &str) {
        if let Some(known) = self.peer_records.get_mut(instance) {
            known.unanswered_count = known.unanswered_count.saturating_add(1);
        }
    }

    /// The highest configuration revision that any unsuspected peer announced, and that peer.
    #[must_use]
    pub fn newest_revision(&self) -> Option<(Revision, &Member)> {
        self.peer_records
            .values()
            .filter(|known| known.member.state != MemberState::Suspect)
            .map(|known| (known.revision, &known.member))
            .max_by_key(|(revision, _)| *revision)
    }

    /// Returns whether the view changed since the last call.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// The current view, including this instance.
    #[must_use]
    pub fn members(&self) -> Members {
        let peers = self.peer_records.values().map(|known| known.member.clone());
        Members::new(self.own.region.clone(), peers.chain([self.own.clone()]))
    }

    /// Applies one member of the instance list.
    fn apply_listed_member(&mut self, listed: &Member, now: Instant) {
        if listed.instance == self.own.instance {
            if listed.state == MemberState::Leaving && self.own.state != MemberState::Leaving {
                self.leave();
            }
            return;
        }
        let known = self
            .peer_records
            .get(&listed.instance)
            .map(|known| &known.member);
        let mut member = listed.clone();
        if let Some(known) = known {
            // The list may still contain an earlier instance of the same name.
            if known.peer_address != listed.peer_address {
                return;
            }
            member.incarnation = known.incarnation;
        }
        let has_changed = self.merge(&member, now);
        // Every instance reads the list itself, so only urgent changes are passed on to peers.
        if has_changed && !member.is_live() {
            self.updates.add(&member.instance, self.peer_records.len());
        }
        if let Some(known) = self.peer_records.get_mut(&listed.instance) {
            known.is_listed = true;
        }
    }

    /// Applies the contents of a heartbeat or of an answer from `from`.
    fn apply_message(
        &mut self,
        from: &Member,
        revision: Revision,
        updates: &[Member],
        now: Instant,
    ) {
        for update in updates {
            self.apply_update(update, now);
        }
        self.apply_update(from, now);
        if let Some(known) = self.peer_records.get_mut(&from.instance) {
            known.last_seen = now;
            known.unanswered_count = 0;
            known.revision = known.revision.max(revision);
        }
    }

    /// Applies a peer's update about a member, if it is newer, and queues changes for other peers.
    fn apply_update(&mut self, member: &Member, now: Instant) {
        if member.instance == self.own.instance {
            self.refute(member);
            return;
        }
        if !self.was_removed(member, now) && self.merge(member, now) {
            self.updates.add(&member.instance, self.peer_records.len());
        }
    }

    /// Stores an update about another member, if it is newer. Returns whether anything but the
    /// incarnation changed.
    fn merge(&mut self, member: &Member, now: Instant) -> bool {
        let Some(known) = self.peer_records.get_mut(&member.instance) else {
            let known = PeerRecord {
                member: member.clone(),
                last_seen: now,
                unanswered_count: 0,
                revision: 0,
                is_listed: false,
            };
            self.peer_records.insert(member.instance.clone(), known);
            self.changed = true;
            return true;
        };
        if !member.supersedes(&known.member) {
            return false;
        }
        known.member.incarnation = member.incarnation;
        let has_changed = known.member != *member;
        known.member = member.clone();
        self.changed |= has_changed;
        has_changed
    }

    /// Refutes a wrong update about this instance by raising its own incarnation. Accepts an update
    /// that it is leaving, which peers know from the instance list.
    fn refute(&mut self, claimed: &Member) {
        if !claimed.supersedes(&self.own) {
            return;
        }
        if claimed.incarnation == self.own.incarnation && claimed.state == MemberState::Leaving {
            self.leave();
            return;
        }
        self.own.incarnation = claimed.incarnation + 1;
        self.changed = true;
    }

    /// Marks live peers as suspect that have not answered for [`SUSPECT_AFTER`].
    fn suspect_unresponsive(&mut self, now: Instant) {
        let silent: Vec<InstanceId> = self
            .peer_records
            .values()
            .filter(|known| {
                known.member.is_live()
                    && known.unanswered_count >= MIN_UNANSWERED_COUNT
                    && now.saturating_duration_since(known.last_seen) >= SUSPECT_AFTER
            })
            .map(|known| known.member.instance.clone())
            .collect();
        for instance in silent {
            if let Some(known) = self.peer_records.get_mut(&instance) {
                known.member.state = MemberState::Suspect;
            }
            self.changed = true;
            self.updates.add(&instance, self.peer_records.len());
        }
    }

    /// Removes instances that are no longer listed and do not answer heartbeats.
    fn remove_departed(&mut self, now: Instant) {
        self.removed
            .retain(|_, (_, since)| now.saturating_duration_since(*since) < REMOVED_RETENTION);
        let removed = &mut self.removed;
        let count_before = self.peer_records.len();
        self.peer_records.retain(|instance, known| {
            let is_silent = match known.member.state {
                MemberState::Live => false,
                MemberState::Suspect => true,
                MemberState::Leaving => known.unanswered_count > 0,
            };
            let is_departed = is_silent && !known.is_listed;
            if is_departed {
                removed.insert(instance.clone(), (known.member.incarnation, now));
            }
            !is_departed
        });
        self.changed |= self.peer_records.len() != count_before;
    }

    /// Whether the update is no newer than what was known when the instance was recently removed.
    fn was_removed(&self, member: &Member, now: Instant) -> bool {
        self.removed
            .get(&member.instance)
            .is_some_and(|(incarnation, since)| {
                member.incarnation <= *incarnation
                    && now.saturating_duration_since(*since) < REMOVED_RETENTION
            })
    }

    /// Live peers that did not answer the last heartbeat, those silent for longest first.
    fn unanswered_peers(&self) -> Vec<Member> {
        let mut silent: Vec<&PeerRecord> = self
            .peer_records
            .values()
            .filter(|known| known.unanswered_count > 0 && known.member.is_live())
            .collect();
        silent.sort_by_key(|known| known.last_seen);
        silent
            .into_iter()
            .take(UNANSWERED_PEERS_COUNT)
            .map(|known| known.member.clone())
            .collect()
    }

    /// Peers by name: those inside this instance's region if `local`, otherwise those outside.
    fn peers(&self, local: bool) -> MembersByName<'_> {
        self.peer_records
            .iter()
            .filter(|(_, known)| (known.member.region == self.own.region) == local)
            .map(|(instance, known)| (instance, &known.member))
            .collect()
    }

    /// Takes the next queued changes for a message to `to`, plus the suspicion of `to`, if any.
    fn updates_for(&mut self, to: &str) -> Vec<Member> {
        let correction = self
            .peer_records
            .get(to)
            .filter(|known| known.member.state == MemberState::Suspect);
        let mut updates: Vec<Member> = correction
            .iter()
            .map(|known| known.member.clone())
            .collect();
        for instance in self.updates.take_next() {
            if let Some(known) = self.peer_records.get(&instance) {
                updates.push(known.member.clone());
            }
        }
        updates
    }
}
