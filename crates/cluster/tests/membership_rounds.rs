//! Tests the membership state machine without sockets or a clock.

mod support;

use {
    cluster::{HEARTBEAT_PEERS_COUNT, Member, MemberState, Membership, SUSPECT_AFTER},
    proptest::prelude::*,
    rand::SeedableRng,
    rand_chacha::ChaCha8Rng,
    std::{
        collections::{BTreeSet, HashMap},
        time::{Duration, Instant},
    },
    support::member,
};

const ROUND: Duration = Duration::from_secs(1);

/// Simulated instances that exchange heartbeats. Those in `silent` neither send nor answer.
struct Fleet {
    instances: HashMap<String, Membership>,
    silent: BTreeSet<String>,
    now: Instant,
    random: ChaCha8Rng,
}

impl Fleet {
    fn new(members: &[Member], seed: u64) -> Self {
        let now = Instant::now();
        let mut instances = HashMap::new();
        for own in members {
            let mut membership = Membership::new(own.clone());
            membership.apply_instance_list(members, now);
            instances.insert(own.instance.clone(), membership);
        }
        let random = ChaCha8Rng::seed_from_u64(seed);
        Self {
            instances,
            silent: BTreeSet::new(),
            now,
            random,
        }
    }

    fn round(&mut self) {
        self.now += ROUND;
        let mut names: Vec<String> = self.instances.keys().cloned().collect();
        names.sort();
        for name in names.iter().filter(|name| !self.silent.contains(*name)) {
            let Some(mut membership) = self.instances.remove(name) else {
                continue;
            };
            for peer in membership.begin_round(self.now, &mut self.random) {
                let heartbeat = membership.heartbeat_for(&peer);
                match self.instances.get_mut(&peer.instance) {
                    Some(receiver) if !self.silent.contains(&peer.instance) => {
                        let ack = receiver.handle_heartbeat(&heartbeat, self.now);
                        membership.handle_ack(&ack, self.now);
                    }
                    _ => membership.record_unanswered(&peer.instance),
                }
            }
            self.instances.insert(name.clone(), membership);
        }
    }

    /// States that the responsive instances have for `instance`; `None` if one does not know it.
    fn states(&self, instance: &str) -> BTreeSet<Option<MemberState>> {
        self.instances
            .iter()
            .filter(|(name, _)| !self.silent.contains(*name))
            .map(|(_, membership)| {
                membership
                    .members()
                    .get(instance)
                    .map(|member| member.state)
            })
            .collect()
    }

    /// Runs rounds until all responsive instances agree on `state`; returns the number of rounds.
    fn rounds_until(&mut self, instance: &str, state: MemberState) -> usize {
        for round in 1..=60 {
            self.round();
            if self.states(instance) == BTreeSet::from([Some(state)]) {
                return round;
            }
        }
        panic!("no agreement: {:?}", self.states(instance));
    }
}

fn members(count: u16) -> Vec<Member> {
    (0..count).map(|index| member(index, 15)).collect()
}

#[test]
fn silent_instance_is_suspected_and_returns() {
    let mut fleet = Fleet::new(&members(5), 1);
    (0..5).for_each(|_| fleet.round());
    fleet.silent.insert("entry-002".to_owned());
    let rounds = fleet.rounds_until("entry-002", MemberState::Suspect);
    assert!(ROUND * u32::try_from(rounds).unwrap() >= SUSPECT_AFTER);
    assert!(rounds <= 8, "took {rounds} rounds");
    fleet.silent.clear();
    assert!(fleet.rounds_until("entry-002", MemberState::Live) <= 8);
}

#[test]
fn changes_reach_a_large_fleet_within_seconds() {
    let mut fleet = Fleet::new(&members(320), 2);
    (0..5).for_each(|_| fleet.round());
    let leaving_instance = fleet.instances.get_mut("entry-100").unwrap();
    leaving_instance.leave();
    assert!(fleet.rounds_until("entry-100", MemberState::Leaving) <= 10);
    fleet.silent.insert("entry-200".to_owned());
    assert!(fleet.rounds_until("entry-200", MemberState::Suspect) <= 20);
}

#[test]
fn unlisted_silent_instance_is_removed() {
    let all = members(4);
    let mut fleet = Fleet::new(&all, 3);
    fleet.silent.insert("entry-003".to_owned());
    fleet.rounds_until("entry-003", MemberState::Suspect);
    for membership in fleet.instances.values_mut() {
        membership.apply_instance_list(&all[..3], fleet.now);
    }
    assert_eq!(fleet.states("entry-003"), BTreeSet::from([None]));
    (0..5).for_each(|_| fleet.round());
    assert_eq!(fleet.states("entry-003"), BTreeSet::from([None]));
}

#[test]
fn new_instance_is_known_before_it_is_listed() {
    let mut fleet = Fleet::new(&members(8), 4);
    let mut new_instance = Membership::new(member(50, 15));
    new_instance.apply_instance_list(&members(1), fleet.now);
    fleet.instances.insert("entry-050".to_owned(), new_instance);
    assert!(fleet.rounds_until("entry-050", MemberState::Live) <= 8);
    assert_eq!(fleet.instances["entry-050"].members().members_count(), 9);
}

#[test]
fn paused_instance_suspects_nobody_at_once() {
    let mut fleet = Fleet::new(&members(5), 5);
    (0..5).for_each(|_| fleet.round());
    let later = fleet.now + SUSPECT_AFTER * 10;
    let membership = fleet.instances.get_mut("entry-000").unwrap();
    membership.begin_round(later, &mut fleet.random);
    assert!(membership.members().iter().all(Member::is_live));
}

#[test]
fn list_sets_leaving_and_never_resets_it() {
    let all = members(3);
    let mut fleet = Fleet::new(&all, 6);
    let mut listed = all.clone();
    listed[1].state = MemberState::Leaving;
    fleet
        .instances
        .get_mut("entry-000")
        .unwrap()
        .apply_instance_list(&listed, fleet.now);
    fleet.rounds_until("entry-001", MemberState::Leaving);
    for membership in fleet.instances.values_mut() {
        membership.apply_instance_list(&all, fleet.now);
    }
    fleet.round();
    assert_eq!(
        fleet.states("entry-001"),
        BTreeSet::from([Some(MemberState::Leaving)])
    );
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(32))]
    #[test]
    fn views_converge(seed: u64, count in 2_u16..24, steps in prop::collection::vec((0_u16..24, 0_u8..3), 0..12)) {
        let mut fleet = Fleet::new(&members(count), seed);
        for (index, action) in steps {
            let name = member(index % count, 15).instance;
            match action {
                0 => drop(fleet.silent.insert(name)),
                1 => drop(fleet.silent.remove(&name)),
                _ => fleet.round(),
            }
        }
        fleet.silent.clear();
        (0..60).for_each(|_| fleet.round());
        for membership in fleet.instances.values_mut() {
            prop_assert!(membership.begin_round(fleet.now, &mut fleet.random).len() <= HEARTBEAT_PEERS_COUNT);
            prop_assert!(membership.members().iter().all(Member::is_live));
        }
    }
}
