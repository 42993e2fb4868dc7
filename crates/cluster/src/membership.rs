//! Membership: who is there, from a late instance list and from heartbeats.

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

/// Time without a sign of an instance, with heartbeats to it unanswered, until it is suspected.
pub const SUSPECT_AFTER: Duration = Duration::from_secs(3);
/// Heartbeats in a row that must stay unanswered before an instance is suspected.
const MIN_UNANSWERED_COUNT: u32 = 2;
/// Time for which statements about a removed instance are not taken up again.
const REMOVED_RETENTION: Duration = Duration::from_mins(1);
/// Peers that a heartbeat goes to in one round.
pub const HEARTBEAT_PEERS_COUNT: usize = 3;
/// Of these, how many are kept for peers of other regions.
const REMOTE_PEERS_COUNT: usize = 1;
/// Of these, how many may be ones that did not answer the last time.
const UNANSWERED_PEERS_COUNT: usize = 1;

#[derive(Clone, Debug)]
struct PeerRecord {
    member: Member,
    /// Last message from the instance itself.
    last_seen: Instant,
    unanswered_count: u32,
    /// Configuration revision that the instance last named; 0 if none.
    revision: Revision,
    /// Whether the instance list has it.
    is_listed: bool,
}

/// The state of membership at one instance. Clock and random numbers are arguments.
#[derive(Clone, Debug)]
pub struct Membership {
    own: Member,
    revision: Revision,
    peer_records: BTreeMap<InstanceId, PeerRecord>,
    updates: UpdateQueue,
    removed: BTreeMap<InstanceId, (Incarnation, Instant)>,
    /// Turns of the peers of this region.
    local_rotation: PeerRotation,
    /// Turns of the peers of other regions.
    remote_rotation: PeerRotation,
    joining: bool,
    changed: bool,
}

impl Membership {
    /// The view of an instance that knows only itself.
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

    /// Sets the configuration revision that heartbeats carry.
    pub fn set_revision(&mut self, revision: Revision) {
        self.revision = revision;
    }

    /// Says from now on that this instance is leaving.
    pub fn leave(&mut self) {
        self.own.state = MemberState::Leaving;
        self.changed = true;
    }

    /// Takes in the instance list. Instances new in it join, those it calls leaving are leaving,
    /// and those that are gone from it are removed once they do not answer either.
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

    /// Starts a round, once a second: suspects peers that stay silent and names those that get a
    /// heartbeat now. Every peer gets its turn before any gets a second one.
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

    /// The heartbeat for `to`. It repeats what is known of `to` if that must be corrected.
    pub fn heartbeat_for(&mut self, to: &Member) -> Heartbeat {
        Heartbeat {
            from: self.own.clone(),
            revision: self.revision,
            joining: self.joining,
            updates: self.updates_for(&to.instance),
        }
    }

    /// Takes in a peer's heartbeat and gives the answer.
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

    /// Takes in the answer to a heartbeat.
    pub fn handle_ack(&mut self, ack: &HeartbeatAck, now: Instant) {
        self.joining = false;
        self.apply_message(&ack.from, ack.revision, &ack.updates, now);
    }

    /// Notes that a heartbeat to `instance` was not answered, also not on a fresh connection.
    pub fn record_unanswered(&mut self, instance: &str) {
        if let Some(known) = self.peer_records.get_mut(instance) {
            known.unanswered_count = known.unanswered_count.saturating_add(1);
        }
    }

    /// The highest configuration revision that a peer said is in force there, and the peer.
    #[must_use]
    pub fn newest_revision(&self) -> Option<(Revision, &Member)> {
        self.peer_records
            .values()
            .filter(|known| known.member.state != MemberState::Suspect)
            .map(|known| (known.revision, &known.member))
            .max_by_key(|(revision, _)| *revision)
    }

    /// Whether the view changed since this was last asked.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// The view with this instance in it.
    #[must_use]
    pub fn members(&self) -> Members {
        let peers = self.peer_records.values().map(|known| known.member.clone());
        Members::new(self.own.region.clone(), peers.chain([self.own.clone()]))
    }

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
            // The list may still show an earlier instance of the same name.
            if known.peer_address != listed.peer_address {
                return;
            }
            member.incarnation = known.incarnation;
        }
        let has_changed = self.merge(&member, now);
        // Every instance reads the list, so only the news that matters in seconds is passed on.
        if has_changed && !member.is_live() {
            self.updates.add(&member.instance, self.peer_records.len());
        }
        if let Some(known) = self.peer_records.get_mut(&listed.instance) {
            known.is_listed = true;
        }
    }

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

    /// Takes in a peer's statement about a member, if it is newer, and passes on what is new.
    fn apply_update(&mut self, member: &Member, now: Instant) {
        if member.instance == self.own.instance {
            self.refute(member);
            return;
        }
        if !self.was_removed(member, now) && self.merge(member, now) {
            self.updates.add(&member.instance, self.peer_records.len());
        }
    }

    /// Keeps a statement about another member if it is newer; says whether more than the
    /// incarnation is new.
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

    /// Answers a wrong statement about this instance with a newer one. That it is leaving, which
    /// peers have from the instance list, it takes as true.
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

    /// Removes instances that neither the list nor they themselves vouch for.
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

    fn was_removed(&self, member: &Member, now: Instant) -> bool {
        self.removed
            .get(&member.instance)
            .is_some_and(|(incarnation, since)| {
                member.incarnation <= *incarnation
                    && now.saturating_duration_since(*since) < REMOVED_RETENTION
            })
    }

    /// Live peers that did not answer the last heartbeat, longest silent first.
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

    /// Peers inside (`local`) or outside this instance's region, by name.
    fn peers(&self, local: bool) -> MembersByName<'_> {
        self.peer_records
            .iter()
            .filter(|(_, known)| (known.member.region == self.own.region) == local)
            .map(|(instance, known)| (instance, &known.member))
            .collect()
    }

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
