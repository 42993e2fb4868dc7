//! Which target a call goes to: sessions stay, load spills, plain calls spread.

use {
    balance::{CallOutcome, Candidate, Health, RetryBounds, RetryBudgetShare, choose, rendezvous},
    proptest::prelude::{any, proptest},
    std::{collections::HashSet, time::Duration},
};

fn pool(count: usize) -> Vec<Candidate> {
    let seeds = (0..count).map(|index| rendezvous::member_seed(&format!("engine-{index}")));
    seeds.map(|seed| Candidate::new(seed, 48)).collect()
}

fn session(number: u32) -> u64 {
    rendezvous::key_seed(&number.to_le_bytes())
}

#[test]
fn sessions_spread_over_all_targets_and_each_stays_on_one() {
    let pool = pool(18);
    let owners = (0..500).map(|number| choose(&pool, Some(session(number)), u64::from(number)));
    let owners: Vec<usize> = owners.flatten().collect();
    let again = (0..500).filter_map(|number| choose(&pool, Some(session(number)), 7));
    assert_eq!(owners, again.collect::<Vec<_>>());
    assert_eq!(owners.iter().collect::<HashSet<_>>().len(), 18);
}

#[test]
fn busy_owner_is_spared_and_gets_its_sessions_back() {
    let mut pool = pool(18);
    let owner = choose(&pool, Some(session(1)), 0).unwrap();
    pool[owner].in_flight_count = 12.0;
    assert_ne!(choose(&pool, Some(session(1)), 0), Some(owner));
    pool[owner].in_flight_count = 4.0;
    assert_eq!(choose(&pool, Some(session(1)), 0), Some(owner));
}

#[test]
fn session_stays_while_its_owner_is_as_busy_as_most() {
    let mut pool = pool(90);
    for (index, candidate) in pool.iter_mut().enumerate() {
        candidate.slots_count = 24;
        candidate.in_flight_count = if index % 9 == 0 { 0.0 } else { 5.0 };
    }
    let stays = (0..500).filter(|number| {
        let chosen = choose(&pool, Some(session(*number)), 0).unwrap();
        pool[chosen].in_flight_count > 0.0
    });
    let stays_count = stays.count();
    assert!(
        (400..=480).contains(&stays_count),
        "of many targets one is always idle"
    );
}

#[test]
fn target_that_keeps_the_session_goes_before_its_owner() {
    let mut pool = pool(18);
    let owner = choose(&pool, Some(session(1)), 0).unwrap();
    let keeper = (owner + 1) % 18;
    pool[keeper].has_session_prefix = true;
    assert_eq!(choose(&pool, Some(session(1)), 0), Some(keeper));
}

#[test]
fn session_stays_near_the_store_that_holds_it() {
    let mut pool = pool(18);
    for candidate in pool.iter_mut().take(6) {
        candidate.in_preferred_domain = true;
    }
    let chosen = (0..200).filter_map(|number| choose(&pool, Some(session(number)), 0));
    assert!(chosen.clone().all(|index| index < 6));
    for candidate in pool.iter_mut().take(6) {
        candidate.in_flight_count = 12.0;
    }
    let chosen = (0..200).filter_map(|number| choose(&pool, Some(session(number)), 0));
    assert!(
        chosen.clone().all(|index| index >= 6),
        "not if they are far busier"
    );
}

#[test]
fn plain_calls_go_to_the_least_busy_target() {
    let mut pool = pool(3);
    for (candidate, busy) in pool.iter_mut().zip([30.0, 2.0, 20.0]) {
        candidate.in_flight_count = busy;
    }
    assert!((0..50).all(|draw| choose(&pool, None, draw) == Some(1)));
}

proptest! {
    #[test]
    fn some_candidate_is_always_chosen(
        loads in proptest::collection::vec(0.0_f64..200.0, 1..30),
        key in any::<Option<u64>>(),
        draw in any::<u64>(),
    ) {
        let mut pool = pool(loads.len());
        for (candidate, load) in pool.iter_mut().zip(&loads) {
            candidate.in_flight_count = *load;
        }
        assert!(choose(&pool, key, draw).is_some_and(|index| index < loads.len()));
    }

    #[test]
    fn instances_together_stay_within_the_retry_bounds(instances_count in 1_u32..40) {
        let bounds = RetryBounds {
            retries_per_call: 0.2,
            window: Duration::from_secs(10),
            slack_count: 58.0,
        };
        let calls_per_instance = 100;
        let mut allowed = 0;
        for _ in 0..instances_count {
            let mut share = RetryBudgetShare::new(&bounds, instances_count);
            for call in 0..calls_per_instance {
                share.record_call();
                for _ in 0..5 {
                    let now = Duration::from_millis(call * 100);
                    allowed += u32::from(share.try_retry(now));
                }
            }
        }
        let calls = f64::from(instances_count) * 100.0;
        assert!(f64::from(allowed) <= 0.2 * calls + 58.0 + f64::from(instances_count) * 2.0);
    }
}

#[test]
fn failing_target_is_left_out_and_tried_again_later() {
    let mut health = Health::default();
    let at = Duration::from_millis;
    health.record(CallOutcome::Failed, at(0));
    assert!(!health.is_ejected(at(0)), "one failure is none");
    health.record(CallOutcome::Failed, at(10));
    assert!(health.is_ejected(at(500)));
    assert!(!health.is_ejected(at(1_000)));
    health.record(CallOutcome::Failed, at(1_100));
    assert!(health.is_ejected(at(2_000)), "longer the second time");
}

#[test]
fn full_target_is_no_failing_one() {
    let mut health = Health::default();
    for millis in 0..100 {
        health.record(CallOutcome::Full, Duration::from_millis(millis));
    }
    assert!(!health.is_ejected(Duration::from_millis(100)));
}
