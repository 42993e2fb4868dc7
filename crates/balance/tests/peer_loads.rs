//! Estimates of the calls in flight to a target from the reports of the instances.

use {
    balance::{PeerLoads, TargetLoad},
    proptest::prelude::*,
    std::time::Duration,
};

const NOW: Duration = Duration::from_secs(100);
const MAX_AGE: Duration = Duration::from_secs(1);

fn load(target_seed: u64, calls_count: u32, tokens_count: u64) -> TargetLoad {
    TargetLoad {
        target_seed,
        calls_count,
        tokens_count,
        unread_tokens_count: tokens_count / 2,
    }
}

#[test]
fn single_instance_counts_only_its_own_calls() {
    assert!((PeerLoads::default().estimate_in_flight(7, 3, 1) - 3.0).abs() < 1e-9);
}

#[test]
fn estimate_extrapolates_to_instances_without_a_report() {
    let mut loads = PeerLoads::default();
    assert!(
        (loads.estimate_in_flight(7, 2, 5) - 10.0).abs() < 1e-9,
        "no instance has reported"
    );
    loads.set("b", vec![load(7, 4, 100)], 1, NOW);
    assert!(
        (loads.estimate_in_flight(7, 2, 4) - 12.0).abs() < 1e-9,
        "two of four instances have six calls in flight"
    );
    loads.set("b", vec![load(8, 1, 10)], 1, NOW);
    assert!(
        (loads.estimate_in_flight(7, 2, 2) - 2.0).abs() < 1e-9,
        "a new report replaces the old one"
    );
}

/// Guards against an estimate that is too high by the number of instances that a merged report adds up.
#[test]
fn merged_report_counts_for_the_instances_that_it_covers() {
    let mut loads = PeerLoads::default();
    loads.set("aggregator", vec![load(7, 30, 3_000)], 9, NOW);
    assert!((loads.estimate_in_flight(7, 2, 10) - 32.0).abs() < 1e-9);
    assert!((loads.estimate_tokens(7, 200, 10) - 3_200.0).abs() < 1e-9);
    assert!(
        (loads.estimate_in_flight(7, 2, 20) - 64.0).abs() < 1e-9,
        "half of the instances are covered"
    );
    loads.set("b", vec![load(7, 4, 400)], 1, NOW);
    assert_eq!(loads.covered_count(MAX_AGE, NOW), 10);
    loads.remove("aggregator");
    assert_eq!(loads.covered_count(MAX_AGE, NOW), 1);
    assert!(
        (loads.estimate_in_flight(7, 2, 2) - 6.0).abs() < 1e-9,
        "the merged report is gone"
    );
}

proptest! {
    #[test]
    fn estimate_is_the_sum_of_the_latest_reports(
        reports in prop::collection::vec((0_usize..5, prop::collection::vec((0_u64..4, 0_u32..50), 0..6)), 0..30),
        removed_peer in 0_usize..5,
    ) {
        let name = |peer: usize| format!("entry-{peer}");
        let mut loads = PeerLoads::default();
        let mut latest = std::collections::HashMap::new();
        for (peer, counts) in reports {
            let counts: Vec<_> = counts.into_iter().map(|(seed, count)| load(seed, count, 3 * u64::from(count))).collect();
            loads.set(&name(peer), counts.clone(), 1, NOW);
            latest.insert(peer, counts);
        }
        loads.remove(&name(removed_peer));
        latest.remove(&removed_peer);
        for target in 0..4 {
            let counts = latest.values().flatten().filter(|it| it.target_seed == target);
            let sum: u32 = counts.map(|it| it.calls_count).sum();
            let instances_count = u32::try_from(latest.len()).unwrap() + 1;
            let estimate = loads.estimate_in_flight(target, 1, instances_count);
            prop_assert!((estimate - f64::from(sum + 1)).abs() < 1e-9);
            let tokens = loads.estimate_tokens(target, 3, instances_count);
            prop_assert!((tokens - f64::from(3 * (sum + 1))).abs() < 1e-9);
        }
    }
}

/// Guards against decisions by reports that are no longer true.
#[test]
fn old_reports_cover_no_instances() {
    let mut loads = PeerLoads::default();
    loads.set("aggregator", vec![load(7, 30, 3_000)], 9, NOW);
    loads.set("b", vec![load(7, 4, 400)], 1, NOW + Duration::from_secs(2));
    let covered_count = |now| loads.covered_count(MAX_AGE, now);
    assert_eq!(covered_count(NOW + Duration::from_secs(1)), 10);
    assert_eq!(covered_count(NOW + Duration::from_secs(2)), 1);
}
