//! When an instance is taken to be cut off from a pool.

use {balance::Reachability, std::time::Duration};

const START: Duration = Duration::from_secs(10);
const LONG: Duration = Duration::from_secs(1);

/// A pool to whose targets 0 to `count` connections fail at [`START`].
fn failing(count: u64) -> Reachability {
    let mut reachability = Reachability::default();
    for seed in 0..count {
        reachability.record_failure(seed, START);
    }
    reachability
}

#[test]
fn few_failing_targets_of_many_are_not_a_cut() {
    assert!(!failing(2).is_cut_off(18, START + LONG));
    assert!(failing(3).is_cut_off(18, START + LONG));
}

#[test]
fn small_pool_is_cut_off_once_all_its_targets_fail() {
    assert!(!failing(1).is_cut_off(2, START + LONG));
    assert!(failing(2).is_cut_off(2, START + LONG));
}

#[test]
fn pool_without_targets_or_failures_is_not_cut_off() {
    assert!(!failing(0).is_cut_off(0, START + LONG));
    assert!(!failing(0).is_cut_off(5, START + LONG));
}

#[test]
fn short_failure_is_not_a_cut() {
    assert!(!failing(5).is_cut_off(5, START + Duration::from_millis(500)));
}

#[test]
fn one_reached_target_ends_a_cut() {
    let mut reachability = failing(5);
    reachability.record_reached();
    assert!(!reachability.is_cut_off(5, START + LONG));
    reachability.record_failure(1, START + LONG);
    assert!(!reachability.is_cut_off(5, START + LONG * 2));
}
