//! Guards against two instances giving orders to one target: under freezes, outages and a jumping
//! clock of the key-value service, no order of an earlier holder reaches the target after one of a
//! later holder.

mod support;

use support::{ClocklessHold, NoWaitHold, RealHold, RunReport, Simulation, TargetHold};

const SEEDS: std::ops::Range<u64> = 0..200;

fn run<Hold>(checks_fencing: bool) -> RunReport
where
    Hold: TargetHold,
{
    let mut total = RunReport::default();
    for seed in SEEDS {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .start_paused(true)
            .build()
            .unwrap();
        total.add(runtime.block_on(Simulation::<Hold>::run(seed, checks_fencing)));
    }
    let failed = total.failed_seeds.len();
    println!("checks fencing: {checks_fencing}; {failed} seeds failed; {total:?}");
    total
}

#[test]
fn holders_never_overlap_without_fencing_checks() {
    let total = run::<RealHold>(false);
    assert!(total.order_count > 1000 && total.handover_count > 100);
    assert_eq!(total.failed_seeds, Vec::<u64>::new(), "{total:?}");
}

#[test]
fn stale_orders_are_refused_with_fencing_checks() {
    let total = run::<RealHold>(true);
    assert!(total.order_count > 1000 && total.handover_count > 100);
    assert!(total.refused_count > 0, "no earlier holder's order came");
    assert_eq!(total.failed_seeds, Vec::<u64>::new(), "{total:?}");
}

#[test]
fn simulation_catches_a_holder_without_a_clock() {
    assert!(!run::<ClocklessHold>(false).failed_seeds.is_empty());
}

#[test]
fn simulation_catches_a_new_holder_that_does_not_wait() {
    assert!(!run::<NoWaitHold>(false).failed_seeds.is_empty());
}
