//! When the order lock allows an order, and which targets a rollout orders next.

use {
    entry::{
        InstanceLease, OrderLock,
        rollout::{
            AttemptOutcome, RolloutCandidate, TargetBackoffs, is_order_in_progress, next_targets,
            waits_for_requests,
        },
    },
    relay::WantedVersions,
    std::time::Duration,
};

const TTL: Duration = Duration::from_secs(2);
const GAP: Duration = Duration::from_secs(3);
const MARGIN: Duration = Duration::from_millis(500);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn new_holder_waits_for_the_previous_holders_orders() {
    let lease = InstanceLease::new(7, ms(0), Duration::from_mins(1));
    let lock = OrderLock::new(&lease, 7, 41, ms(100), GAP);
    assert_eq!(lock.usable_fencing(&lease, ms(3_000), MARGIN), None);
    assert_eq!(lock.usable_fencing(&lease, ms(3_100), MARGIN), Some(41));
}

#[test]
fn suspended_holder_sends_no_order_after_resuming() {
    let lease = InstanceLease::new(7, ms(10_000), TTL);
    let lock = OrderLock::new(&lease, 7, 41, ms(0), GAP);
    assert_eq!(lock.usable_fencing(&lease, ms(11_400), MARGIN), Some(41));
    assert_eq!(
        lock.usable_fencing(&lease, ms(11_600), MARGIN),
        None,
        "it might arrive too late"
    );
    assert_eq!(
        lock.usable_fencing(&lease, ms(16_000), MARGIN),
        None,
        "after six seconds of suspension"
    );
}

#[test]
fn lease_renewal_counts_from_when_it_was_sent() {
    let sent_at = ms(10_000);
    let read_at = ms(16_400);
    let lease = InstanceLease::new(7, sent_at, TTL);
    assert!(!lease.is_valid(read_at, Duration::ZERO));
}

#[test]
fn lock_of_an_earlier_lease_is_not_used() {
    let first = InstanceLease::new(7, ms(0), TTL);
    let lock = OrderLock::new(&first, 7, 41, ms(0), Duration::ZERO);
    let second = InstanceLease::new(8, ms(100), TTL);
    assert_eq!(lock.usable_fencing(&second, ms(200), MARGIN), None);
}

fn pool(versions: &[u64]) -> Vec<RolloutCandidate> {
    let targets = versions.iter().enumerate();
    targets
        .map(|(index, version)| RolloutCandidate {
            target: format!("t{index}"),
            model: "m".to_owned(),
            version: *version,
            in_flight_count: u32::try_from(10 - index % 10).unwrap(),
            has_order: false,
            is_backing_off: false,
            failures_count: 0,
        })
        .collect()
}

#[test]
fn third_of_the_pool_loads_at_a_time_least_busy_first() {
    let pool = pool(&[1; 9]);
    let chosen: Vec<&str> = next_targets(&pool, 2)
        .iter()
        .map(|it| it.target.as_str())
        .collect();
    assert_eq!(chosen, ["t8", "t7", "t6"]);
}

#[test]
fn targets_with_an_order_count_and_are_not_ordered_again() {
    let mut pool = pool(&[1; 9]);
    pool[8].has_order = true;
    pool[7].has_order = true;
    let chosen: Vec<&str> = next_targets(&pool, 2)
        .iter()
        .map(|it| it.target.as_str())
        .collect();
    assert_eq!(chosen, ["t6"]);
}

#[test]
fn single_target_is_updated() {
    assert_eq!(next_targets(&pool(&[1]), 2).len(), 1);
    assert!(next_targets(&pool(&[2]), 2).is_empty());
}

#[test]
fn new_holder_waits_before_planning() {
    let lease = InstanceLease::new(7, ms(0), Duration::from_mins(1));
    let lock = OrderLock::new(&lease, 7, 41, ms(100), GAP);
    assert_eq!(lock.time_until_usable(ms(1_100)), ms(2_000));
    assert_eq!(lock.time_until_usable(ms(3_100)), Duration::ZERO);
}

const BOUND: Duration = Duration::from_secs(8);

/// Wanted versions 2 and 3, named at the given times.
fn wanted(second_named_at: Duration, third_named_at: Duration) -> WantedVersions {
    let mut wanted = WantedVersions::default();
    wanted.add(2, Some(second_named_at), second_named_at);
    wanted.add(3, Some(third_named_at), third_named_at);
    wanted
}

#[test]
fn late_rollout_does_not_wait_for_requests() {
    let wanted = wanted(ms(0), ms(0));
    assert!(waits_for_requests(&wanted, 1, ms(0), BOUND));
    assert!(waits_for_requests(&wanted, 1, ms(3_000), BOUND));
    assert!(
        !waits_for_requests(&wanted, 1, ms(6_000), BOUND),
        "the rollout started late because its holder was suspended"
    );
}

#[test]
fn newer_version_does_not_extend_the_wait_for_requests() {
    let wanted = wanted(ms(0), ms(5_000));
    assert!(!waits_for_requests(&wanted, 1, ms(6_000), BOUND));
    assert!(
        waits_for_requests(&wanted, 2, ms(6_000), BOUND),
        "a target that lacks only the newer version"
    );
}

#[test]
fn targets_with_failures_come_last() {
    let mut pool = pool(&[1; 9]);
    pool[8].failures_count = 1;
    pool[7].is_backing_off = true;
    let chosen: Vec<&str> = next_targets(&pool, 2)
        .iter()
        .map(|it| it.target.as_str())
        .collect();
    assert_eq!(chosen, ["t6", "t5", "t4"]);
    for target in &mut pool[..7] {
        target.version = 2;
    }
    let chosen: Vec<&str> = next_targets(&pool, 2)
        .iter()
        .map(|it| it.target.as_str())
        .collect();
    assert_eq!(chosen, ["t8"], "still ordered once no other target is left");
}

#[test]
fn backoff_grows_up_to_a_limit() {
    let target = "t1".to_owned();
    let mut backoffs = TargetBackoffs::default();
    assert!(!backoffs.is_backing_off(&target, ms(0)));
    backoffs.record(&target, AttemptOutcome::Failed, ms(0));
    assert!(backoffs.is_backing_off(&target, ms(200)));
    assert!(!backoffs.is_backing_off(&target, ms(300)));
    for _ in 0..100 {
        backoffs.record(&target, AttemptOutcome::Failed, ms(0));
    }
    assert_eq!(backoffs.failures_count(&target), 101);
    assert!(!backoffs.is_backing_off(&target, ms(1_000)));
    backoffs.record(&target, AttemptOutcome::NotFailed, ms(0));
    assert_eq!(backoffs.failures_count(&target), 0);
}

#[test]
fn order_missing_from_a_stale_report_counts_as_in_progress() {
    assert!(is_order_in_progress(false, ms(300)));
    assert!(!is_order_in_progress(false, ms(800)));
    assert!(is_order_in_progress(true, ms(2_900)));
}
