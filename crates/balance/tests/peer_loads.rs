//! Estimates of the calls in flight to a target from the reports of the instances.

use {balance::PeerLoads, proptest::prelude::*};

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
    loads.set("b", vec![(7, 4)]);
    assert!(
        (loads.estimate_in_flight(7, 2, 4) - 12.0).abs() < 1e-9,
        "two of four instances have six calls in flight"
    );
    loads.set("b", vec![(8, 1)]);
    assert!(
        (loads.estimate_in_flight(7, 2, 2) - 2.0).abs() < 1e-9,
        "a new report replaces the old one"
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
            loads.set(&name(peer), counts.clone());
            latest.insert(peer, counts);
        }
        loads.remove(&name(removed_peer));
        latest.remove(&removed_peer);
        for target in 0..4 {
            let counts = latest.values().flatten().filter(|(it, _)| *it == target);
            let sum: u32 = counts.map(|(_, count)| count).sum();
            let instances_count = u32::try_from(latest.len()).unwrap() + 1;
            let estimate = loads.estimate_in_flight(target, 1, instances_count);
            prop_assert!((estimate - f64::from(sum + 1)).abs() < 1e-9);
        }
    }
}
