//! This instance's part of the places of a target that must not be sent more calls than it has places.

use {
    crate::{rendezvous, shown_room::UNSHOWN_CALLS_COUNT, smallest_part::SmallestPart},
    std::{cmp::Reverse, time::Duration},
};

/// Places of a target that one instance uses at least. With fewer, calls would find no place at one
/// instance while another one has some.
const MIN_PLACES_PER_SENDER: u32 = 8;

/// The places of a target that bears few refusals.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BoundedPlaces {
    /// Rendezvous seed of the target.
    pub target_seed: u64,
    /// Number of calls that the target runs concurrently.
    pub places_count: u32,
    /// Refusals per second that the target bears from all instances together.
    pub max_refusals_per_s: f64,
}

impl BoundedPlaces {
    /// Number of instances that send calls to the target: so few that it bears the refusals that each
    /// may cause before it hears of them.
    #[must_use]
    pub fn senders_count(&self, instances_count: u32) -> u32 {
        let with_enough_places = self.places_count / MIN_PLACES_PER_SENDER;
        let max_refusals_per_sender = f64::from(UNSHOWN_CALLS_COUNT);
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let within_bound = (self.max_refusals_per_s.max(0.0) / max_refusals_per_sender) as u32;
        let senders_count = with_enough_places.min(within_bound).max(1);
        senders_count.min(instances_count.max(1))
    }

    /// The instances of `instance_seeds` that send calls to the target.
    #[must_use]
    pub fn senders(&self, instance_seeds: &[u64]) -> Vec<u64> {
        let instances_count = u32::try_from(instance_seeds.len()).unwrap_or(u32::MAX);
        let senders_count = usize::try_from(self.senders_count(instances_count));
        let senders_count = senders_count.unwrap_or(usize::MAX);
        let mut seeds = instance_seeds.to_vec();
        let by_rank = |seed: &u64| Reverse(rendezvous::score(self.target_seed, *seed));
        if senders_count < seeds.len() {
            seeds.select_nth_unstable_by_key(senders_count, by_rank);
            seeds.truncate(senders_count);
        }
        seeds
    }

    /// Number of calls that the instance `own_seed` may have in flight at the target; 0 if other
    /// instances use all places.
    ///
    /// The senders are chosen by rendezvous hashing among `instance_seeds`, so that instances with
    /// the same view agree without a message. An instance that is missing there counts as one more.
    #[must_use]
    pub fn part(&self, own_seed: u64, instance_seeds: &[u64]) -> u32 {
        let own_score = rendezvous::score(self.target_seed, own_seed);
        let others = instance_seeds.iter().filter(|seed| **seed != own_seed);
        let scores = others.map(|seed| rendezvous::score(self.target_seed, *seed));
        let (mut instances_count, mut rank) = (1, 0);
        for score in scores {
            instances_count += 1;
            rank += u32::from(score > own_score);
        }
        let senders_count = self.senders_count(instances_count);
        if rank >= senders_count {
            return 0;
        }
        let has_one_more = rank < self.places_count % senders_count;
        self.places_count / senders_count + u32::from(has_one_more)
    }
}

/// The part of a target's places that this instance uses: the smallest that it has been due within a
/// delay, so that others have given up what it uses more.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlaceShare {
    places_count: SmallestPart<u32>,
}

impl PlaceShare {
    /// Creates a share of `places_count` places.
    #[must_use]
    pub fn new(places_count: u32) -> Self {
        Self {
            places_count: SmallestPart::new(places_count),
        }
    }

    /// Adapts the share to the part that this instance is due by the instances that are ready at
    /// `now`. Returns the number of places.
    pub fn update(&mut self, part: u32, now: Duration) -> u32 {
        self.places_count.update(part, now)
    }
}
