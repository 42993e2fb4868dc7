//! Slots of targets and capacity of links.

use {
    admission::{HeadroomRule, LinkBudget, TargetSlots, TransferRate},
    proptest::prelude::*,
};

const RATE: TransferRate = TransferRate {
    mean_bytes_per_s: 8.0,
    deviation_bytes_per_s: 4.0,
};

#[test]
fn aggregate_headroom_admits_more_transfers_on_a_wide_link() {
    let admitted = |rule| {
        let mut budget = LinkBudget::new(1_000.0, rule);
        (0..1_000).filter(|_| budget.try_admit(RATE)).count()
    };
    assert_eq!(admitted(HeadroomRule::PerTransfer { deviations: 3.0 }), 50);
    assert_eq!(admitted(HeadroomRule::Aggregate { deviations: 3.0 }), 109);
}

#[test]
fn idle_link_admits_any_transfer() {
    let mut budget = LinkBudget::new(1.0, HeadroomRule::Aggregate { deviations: 3.0 });
    assert!(budget.try_admit(RATE));
    assert!(!budget.try_admit(RATE));
    budget.release(RATE);
    assert!(budget.try_admit(RATE));
}

#[test]
fn target_runs_no_more_requests_than_its_slots() {
    let mut slots = TargetSlots::default();
    let target = "engine-a".to_owned();
    assert!(slots.try_acquire(&target, 2));
    assert!(slots.try_acquire(&target, 2));
    assert!(!slots.try_acquire(&target, 2));
    slots.release(&target);
    assert_eq!(slots.in_flight_count(&target), 1);
    assert!(slots.try_acquire(&target, 2));
}

proptest! {
    #[test]
    fn released_transfers_free_the_whole_link(
        rates in prop::collection::vec((0.0..1e9f64, 0.0..1e9f64), 1..50),
    ) {
        let mut budget = LinkBudget::new(1e10, HeadroomRule::Aggregate { deviations: 3.0 });
        let rates: Vec<TransferRate> = rates
            .into_iter()
            .map(|(mean_bytes_per_s, deviation_bytes_per_s)| TransferRate { mean_bytes_per_s, deviation_bytes_per_s })
            .filter(|rate| budget.try_admit(*rate))
            .collect();
        for rate in rates {
            budget.release(rate);
        }
        prop_assert!(budget.used_bytes_per_s().abs() < f64::EPSILON);
    }
}
