//! Measures how many heartbeat rounds a change takes to reach all instances, without sockets.

use {
    crate::{probe::member, series::Series},
    cluster::{Member, MemberState, Membership},
    rand::SeedableRng,
    rand_chacha::ChaCha8Rng,
    std::{
        collections::BTreeSet,
        io,
        time::{Duration, Instant},
    },
};

/// Time between two heartbeat rounds.
const ROUND_INTERVAL: Duration = Duration::from_secs(1);
/// Number of rounds after which the measurement fails.
const MAX_ROUNDS_COUNT: usize = 120;
/// Number of failure domains.
const DOMAINS_COUNT: usize = 15;
const SEED: u64 = 20_261_203;

/// Instances that exchange heartbeats. Those in `silent` neither send nor answer.
struct Fleet {
    instances: Vec<Membership>,
    silent: BTreeSet<usize>,
    now: Instant,
    random: ChaCha8Rng,
}

impl Fleet {
    fn new(count: usize) -> Self {
        let members: Vec<Member> = (0..count).map(member).collect();
        let now = Instant::now();
        let start = |own: &Member| {
            let mut instance = Membership::new(own.clone());
            instance.apply_instance_list(&members, now);
            instance
        };
        let mut fleet = Self {
            instances: members.iter().map(start).collect(),
            silent: BTreeSet::new(),
            now,
            random: ChaCha8Rng::seed_from_u64(SEED),
        };
        (0..5).for_each(|_| fleet.round());
        fleet
    }

    fn round(&mut self) {
        self.now += ROUND_INTERVAL;
        for index in 0..self.instances.len() {
            if self.silent.contains(&index) {
                continue;
            }
            for peer in self.instances[index].begin_round(self.now, &mut self.random) {
                let to = usize::from(peer.address.port());
                let heartbeat = self.instances[index].heartbeat_for(&peer);
                if self.silent.contains(&to) {
                    self.instances[index].record_unanswered(&peer.instance);
                    continue;
                }
                let ack = self.instances[to].handle_heartbeat(&heartbeat, self.now);
                self.instances[index].handle_ack(&ack, self.now);
            }
        }
    }

    /// Runs rounds until all other instances see those in `changed` in `state`; returns their
    /// number.
    fn rounds_until(&mut self, changed: &BTreeSet<usize>, state: MemberState) -> io::Result<usize> {
        for round in 1..=MAX_ROUNDS_COUNT {
            self.round();
            if self.agrees(changed, state) {
                return Ok(round);
            }
        }
        Err(io::Error::other("the instances do not agree"))
    }

    fn agrees(&self, changed: &BTreeSet<usize>, state: MemberState) -> bool {
        let others = self
            .instances
            .iter()
            .enumerate()
            .filter(|(index, _)| !changed.contains(index));
        others.into_iter().all(|(_, instance)| {
            let members = instance.members();
            changed.iter().all(|index| {
                members
                    .get(&member(*index).instance)
                    .is_some_and(|member| member.state == state)
            })
        })
    }
}

/// Measures rounds of one second until every instance knows of a change.
pub fn measure() -> io::Result<Vec<Series>> {
    let mut left = Series::new("rounds until all know of a leaving instance", "instances");
    let mut lost = Series::new("rounds until all suspect a silent instance", "instances");
    let mut domain = Series::new(
        "rounds until all suspect a silent failure domain",
        "instances",
    );
    for count in [20, 80, 160, 320] {
        let one = BTreeSet::from([count / 2]);
        let mut fleet = Fleet::new(count);
        fleet.instances[count / 2].leave();
        left.add(
            count,
            fleet.rounds_until(&one, MemberState::Leaving)? as f64,
        );
        let mut fleet = Fleet::new(count);
        fleet.silent.clone_from(&one);
        lost.add(
            count,
            fleet.rounds_until(&one, MemberState::Suspect)? as f64,
        );
        let mut fleet = Fleet::new(count);
        let same_domain: BTreeSet<usize> = (0..count).step_by(DOMAINS_COUNT).collect();
        fleet.silent.clone_from(&same_domain);
        domain.add(
            count,
            fleet.rounds_until(&same_domain, MemberState::Suspect)? as f64,
        );
    }
    Ok(vec![left, lost, domain])
}
