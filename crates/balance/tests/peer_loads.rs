//! What is under way at a target, from what each instance tells.

use {balance::PeerLoads, proptest::prelude::*};

#[test]
fn instance_alone_counts_its_own_calls() {
    assert!((PeerLoads::default().estimate_in_flight(7, 3, 1) - 3.0).abs() < 1e-9);
}

#[test]
fn silent_instances_are_taken_to_be_like_the_others() {
    let mut loads = PeerLoads::default();
    assert!(
        (loads.estimate_in_flight(7, 2, 5) - 10.0).abs() < 1e-9,
        "nobody told anything"
    );
    loads.set("b", vec![(7, 4)]);
    assert!(
        (loads.estimate_in_flight(7, 2, 4) - 12.0).abs() < 1e-9,
        "two of four told of six"
    );
    loads.set("b", vec![(8, 1)]);
    assert!(
        (loads.estimate_in_flight(7, 2, 2) - 2.0).abs() < 1e-9,
        "what it told before is over"
    );
}

proptest! {
    #[test]
    fn estimate_is_the_sum_of_what_was_told_last(
        told in prop::collection::vec((0_usize..5, prop::collection::vec((0_u64..4, 0_u32..50), 0..6)), 0..30),
        gone in 0_usize..5,
    ) {
        let name = |peer: usize| format!("entry-{peer}");
        let mut loads = PeerLoads::default();
        let mut last = std::collections::HashMap::new();
        for (peer, counts) in told {
            loads.set(&name(peer), counts.clone());
            last.insert(peer, counts);
        }
        loads.remove(&name(gone));
        last.remove(&gone);
        for target in 0..4 {
            let counts = last.values().flatten().filter(|(it, _)| *it == target);
            let sum: u32 = counts.map(|(_, count)| count).sum();
            let instances_count = u32::try_from(last.len()).unwrap() + 1;
            let estimate = loads.estimate_in_flight(target, 1, instances_count);
            prop_assert!((estimate - f64::from(sum + 1)).abs() < 1e-9);
        }
    }
}
