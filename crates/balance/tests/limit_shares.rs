//! Instances that share the limit of a target.

use {
    balance::{LimitShare, limit_part, rendezvous},
    proptest::prelude::*,
    std::time::Duration,
};

const TARGET_SEED: u64 = 77;
const WINDOW: Duration = Duration::from_secs(4);

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn seeds(count: usize) -> Vec<u64> {
    let names = (0..count).map(|index| format!("instance-{index}"));
    names.map(|name| rendezvous::member_seed(&name)).collect()
}

/// Calls that a target may get in one window.
fn max_in_window(limit_per_s: f64) -> f64 {
    1.5 * limit_per_s * WINDOW.as_secs_f64() + 5.0
}

/// Times at which instances that always have a call waiting send one.
fn sent_at(limit_per_s: f64, instances_count: usize, idle_until_ms: u64) -> Vec<u64> {
    let seeds = seeds(instances_count);
    let parts = seeds
        .iter()
        .map(|seed| limit_part(limit_per_s, TARGET_SEED, *seed, &seeds));
    let mut shares: Vec<LimitShare> = parts.map(|part| LimitShare::new(part, at(0))).collect();
    let mut sent = Vec::new();
    for millis in (idle_until_ms..idle_until_ms + 12_000).step_by(10) {
        for share in &mut shares {
            while share.try_take(at(millis)) {
                sent.push(millis);
            }
        }
    }
    sent
}

#[test]
fn bucket_gives_its_rate_and_no_more_than_a_short_burst() {
    let mut share = LimitShare::new(2.0, at(0));
    assert!(!share.try_take(at(100)), "starts empty");
    assert_eq!(share.time_until_token(at(100)), Some(at(400)));
    assert!(share.try_take(at(500)));
    assert!(share.try_take(at(60_000)));
    assert!(!share.try_take(at(60_000)));
    assert!(
        !share.try_take(at(100)),
        "time that goes back gives nothing"
    );
}

#[test]
fn limit_of_zero_allows_no_call() {
    let part = limit_part(0.0, TARGET_SEED, 1, &[1, 2]);
    let mut share = LimitShare::new(part, at(0));
    assert!(!share.try_take(at(1_000_000)));
    assert_eq!(share.time_until_token(at(1_000_000)), None);
}

#[test]
fn instance_that_knows_no_other_uses_the_whole_limit() {
    for others in [&[][..], &[5]] {
        let part = limit_part(1.5, TARGET_SEED, 5, others);
        assert!((part - 1.5).abs() < 1e-9);
    }
}

#[test]
fn changed_rate_keeps_the_tokens_earned_so_far() {
    let mut share = LimitShare::new(1.0, at(0));
    share.set_rate(0.1, at(900));
    assert!(!share.try_take(at(1_800)));
    assert!(share.try_take(at(1_900)));
}

proptest! {
    /// Whatever the number of instances, and however long they were idle before.
    #[test]
    fn instances_together_keep_the_limit_in_every_window(
        limit_per_s in 0.0_f64..40.0,
        instances_count in 1_usize..330,
        idle_until_ms in prop_oneof![Just(0_u64), Just(100_000)],
    ) {
        let sent = sent_at(limit_per_s, instances_count, idle_until_ms);
        let window_ms = u64::try_from(WINDOW.as_millis()).unwrap();
        for (index, first) in sent.iter().enumerate() {
            let in_window = sent[index..].iter().take_while(|at| **at < first + window_ms).count();
            #[allow(clippy::cast_precision_loss)]
            let in_window = in_window as f64;
            prop_assert!(in_window <= max_in_window(limit_per_s), "{in_window}");
        }
    }

    #[test]
    fn parts_add_up_to_the_limit(
        limit_per_s in 0.0_f64..1_000.0,
        instances_count in 1_usize..330,
    ) {
        let seeds = seeds(instances_count);
        let parts = seeds.iter().map(|seed| limit_part(limit_per_s, TARGET_SEED, *seed, &seeds));
        prop_assert!((parts.sum::<f64>() - limit_per_s).abs() < 1e-6);
    }
}
