//! How fast an instance begins to follow places.

use {
    entry::{FollowerPace, MAX_STARTED_COUNT, Ownership, START_PERIOD},
    proptest::prelude::*,
    std::{collections::HashSet, net::SocketAddr, time::Duration},
};

#[test]
fn share_of_a_small_fleet_is_followed_at_once() {
    let mut pace = FollowerPace::default();
    let now = Duration::from_secs(1);
    let started = (0..20).filter(|_| pace.try_start(now)).count();
    assert_eq!(started, MAX_STARTED_COUNT);
    assert!(pace.try_start(now + START_PERIOD));
}

proptest! {
    #[test]
    fn no_period_starts_more_than_its_share(pauses_ms in prop::collection::vec(0_u64..60, 1..200)) {
        let mut pace = FollowerPace::default();
        let mut now = Duration::from_secs(1);
        let mut started: Vec<Duration> = Vec::new();
        for pause_ms in pauses_ms {
            now += Duration::from_millis(pause_ms);
            while pace.try_start(now) {
                started.push(now);
            }
        }
        for begin in &started {
            let end = *begin + START_PERIOD;
            let count = started.iter().filter(|at| (*begin..end).contains(at)).count();
            prop_assert!(count <= 2 * MAX_STARTED_COUNT, "{count} within one period");
        }
    }
}

/// 320 instances before 2,500 places start within 0.3 s, and each learns of one more instance every
/// 3 ms. Without a limit, the first to start follow all places.
#[test]
fn start_of_a_whole_fleet_follows_few_places_per_instance() {
    const INSTANCES_COUNT: usize = 320;
    let places: Vec<SocketAddr> = (0..2_500)
        .map(|port| ([127, 0, 0, 1], 9_000 + port).into())
        .collect();
    let names: Vec<String> = (0..INSTANCES_COUNT)
        .map(|index| format!("entry-{index}"))
        .collect();
    let mut pace = FollowerPace::default();
    let mut followed: HashSet<SocketAddr> = HashSet::new();
    let mut most = 0;
    for known_count in 1..=INSTANCES_COUNT {
        let now =
            Duration::from_secs(1) + Duration::from_millis(3) * u32::try_from(known_count).unwrap();
        let owned = Ownership::new(places.clone(), &names[..known_count]).places_of(&names[0]);
        followed.retain(|place| owned.contains(place));
        for place in owned {
            if !followed.contains(&place) && pace.try_start(now) {
                followed.insert(place);
            }
        }
        most = most.max(followed.len());
    }
    assert!(most <= 40, "{most} places at once, of {}", places.len());
}
