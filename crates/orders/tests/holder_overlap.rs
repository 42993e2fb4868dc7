//! Histories of instances that hold one target under freezes, outages and jumping clocks: the
//! orders that reach a target never go back to an earlier holder.

mod support;

use support::{ClockBlind, NoWait, Tenancy, Verdict, Watchful, World};

const SEEDS: std::ops::Range<u64> = 0..200;

fn run<Tenant>(checks_fencing: bool) -> Verdict
where
    Tenant: Tenancy,
{
    let mut total = Verdict::default();
    for seed in SEEDS {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .start_paused(true)
            .build()
            .unwrap();
        total.add(runtime.block_on(World::<Tenant>::run(seed, checks_fencing)));
    }
    let failed = total.failed_seeds.len();
    println!("checks fencing: {checks_fencing}; {failed} seeds failed; {total:?}");
    total
}

#[test]
fn a_target_that_ignores_fencing_sees_one_holder_after_another() {
    let total = run::<Watchful>(false);
    assert!(total.order_count > 1000 && total.handover_count > 100);
    assert_eq!(total.failed_seeds, Vec::<u64>::new(), "{total:?}");
}

#[test]
fn a_target_that_checks_fencing_accepts_one_holder_after_another() {
    let total = run::<Watchful>(true);
    assert!(total.order_count > 1000 && total.handover_count > 100);
    assert!(total.refused_count > 0, "no earlier holder's order came");
    assert_eq!(total.failed_seeds, Vec::<u64>::new(), "{total:?}");
}

#[test]
fn a_holder_without_a_clock_is_caught() {
    assert!(!run::<ClockBlind>(false).failed_seeds.is_empty());
}

#[test]
fn a_next_holder_that_does_not_wait_is_caught() {
    assert!(!run::<NoWait>(false).failed_seeds.is_empty());
}
