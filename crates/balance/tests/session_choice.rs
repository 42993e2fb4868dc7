//! Choice of a target: sessions stay on their target, overload spills, plain calls spread.

use {
    balance::{CallOutcome, Candidate, Health, RetryBounds, RetryBudgetShare, choose, rendezvous},
    proptest::prelude::{any, proptest},
    std::{collections::HashSet, time::Duration},
};

fn idle_candidates(count: usize) -> Vec<Candidate> {
    let seeds = (0..count).map(|index| rendezvous::member_seed(&format!("engine-{index}")));
    seeds.map(|seed| Candidate::new(seed, 48)).collect()
}

fn session_seed(number: u32) -> u64 {
    rendezvous::key_seed(&number.to_le_bytes())
}

#[test]
fn sessions_spread_over_all_targets_and_each_stays_on_one() {
    let candidates = idle_candidates(18);
    let owners =
        (0..500).map(|number| choose(&candidates, Some(session_seed(number)), u64::from(number)));
    let owners: Vec<usize> = owners.flatten().collect();
    let again = (0..500).filter_map(|number| choose(&candidates, Some(session_seed(number)), 7));
    assert_eq!(owners, again.collect::<Vec<_>>());
    assert_eq!(owners.iter().collect::<HashSet<_>>().len(), 18);
}

#[test]
fn session_leaves_a_busy_owner_and_returns_later() {
    let mut candidates = idle_candidates(18);
    let owner = choose(&candidates, Some(session_seed(1)), 0).unwrap();
    candidates[owner].in_flight_count = 12.0;
    assert_ne!(choose(&candidates, Some(session_seed(1)), 0), Some(owner));
    candidates[owner].in_flight_count = 4.0;
    assert_eq!(choose(&candidates, Some(session_seed(1)), 0), Some(owner));
}

#[test]
fn session_stays_while_its_owner_is_as_busy_as_most() {
    let mut candidates = idle_candidates(90);
    for (index, candidate) in candidates.iter_mut().enumerate() {
        candidate.slots_count = 24;
        candidate.in_flight_count = if index % 9 == 0 { 0.0 } else { 5.0 };
    }
    let stayed = (0..500).filter(|number| {
        let chosen = choose(&candidates, Some(session_seed(*number)), 0).unwrap();
        candidates[chosen].in_flight_count > 0.0
    });
    let stayed_count = stayed.count();
    assert!(
        (400..=480).contains(&stayed_count),
        "idle targets must not draw sessions from targets with an ordinary load"
    );
}

#[test]
fn target_with_the_session_prefix_precedes_the_owner() {
    let mut candidates = idle_candidates(18);
    let owner = choose(&candidates, Some(session_seed(1)), 0).unwrap();
    let target_with_prefix = (owner + 1) % 18;
    candidates[target_with_prefix].has_session_prefix = true;
    assert_eq!(
        choose(&candidates, Some(session_seed(1)), 0),
        Some(target_with_prefix)
    );
}

#[test]
fn session_stays_in_the_failure_domain_of_its_store() {
    let mut candidates = idle_candidates(18);
    for candidate in candidates.iter_mut().take(6) {
        candidate.in_preferred_domain = true;
    }
    let chosen = (0..200).filter_map(|number| choose(&candidates, Some(session_seed(number)), 0));
    assert!(chosen.clone().all(|index| index < 6));
    for candidate in candidates.iter_mut().take(6) {
        candidate.in_flight_count = 12.0;
    }
    let chosen = (0..200).filter_map(|number| choose(&candidates, Some(session_seed(number)), 0));
    assert!(
        chosen.clone().all(|index| index >= 6),
        "much busier targets lose their sessions"
    );
}

#[test]
fn plain_calls_go_to_the_least_busy_target() {
    let mut candidates = idle_candidates(3);
    for (candidate, in_flight_count) in candidates.iter_mut().zip([30.0, 2.0, 20.0]) {
        candidate.in_flight_count = in_flight_count;
    }
    assert!((0..50).all(|draw| choose(&candidates, None, draw) == Some(1)));
}

proptest! {
    #[test]
    fn some_candidate_is_always_chosen(
        loads in proptest::collection::vec(0.0_f64..200.0, 1..30),
        key in any::<Option<u64>>(),
        draw in any::<u64>(),
    ) {
        let mut candidates = idle_candidates(loads.len());
        for (candidate, load) in candidates.iter_mut().zip(&loads) {
            candidate.in_flight_count = *load;
        }
        assert!(choose(&candidates, key, draw).is_some_and(|index| index < loads.len()));
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
fn failing_target_is_ejected_and_retried_later() {
    let mut health = Health::default();
    let at = Duration::from_millis;
    health.record(CallOutcome::Failed, at(0));
    assert!(!health.is_ejected(at(0)), "a single failure does not eject");
    health.record(CallOutcome::Failed, at(10));
    assert!(health.is_ejected(at(500)));
    assert!(!health.is_ejected(at(1_000)));
    health.record(CallOutcome::Failed, at(1_100));
    assert!(
        health.is_ejected(at(2_000)),
        "the second ejection is longer"
    );
}

#[test]
fn full_outcomes_do_not_eject_a_target() {
    let mut health = Health::default();
    for millis in 0..100 {
        health.record(CallOutcome::Full, Duration::from_millis(millis));
    }
    assert!(!health.is_ejected(Duration::from_millis(100)));
}
