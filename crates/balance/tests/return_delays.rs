//! Guards against instances that all return to a target in the moment in which its backoff ends.

use {
    balance::{rendezvous, return_delay},
    proptest::prelude::*,
    std::time::Duration,
};

const TARGET_SEED: u64 = 77;
const WINDOW: Duration = Duration::from_millis(100);
const MAX_DELAY: Duration = Duration::from_secs(2);

fn seeds(count: usize) -> Vec<u64> {
    let names = (0..count).map(|index| format!("instance-{index}"));
    names.map(|name| rendezvous::member_seed(&name)).collect()
}

/// Most instances that return within one window.
fn max_in_window(mut delays: Vec<Duration>) -> usize {
    delays.sort();
    let counts = delays.iter().enumerate().map(|(index, first)| {
        let window = delays[index..].iter();
        window.take_while(|delay| **delay < *first + WINDOW).count()
    });
    counts.max().unwrap_or(0)
}

/// Instances that may return within one window if all have the same view.
fn allowed_count(instances_count: usize) -> usize {
    instances_count.div_ceil(20).max(10) + 1
}

#[test]
fn instance_that_knows_no_other_returns_at_once() {
    for others in [&[][..], &[5]] {
        assert_eq!(return_delay(TARGET_SEED, 5, others), Duration::ZERO);
    }
}

#[test]
fn few_instances_return_together() {
    for count in [1, 5, 31, 78, 320] {
        let seeds = seeds(count);
        let delays = seeds
            .iter()
            .map(|own| return_delay(TARGET_SEED, *own, &seeds));
        let most = max_in_window(delays.collect());
        println!("{count}: {most} within {WINDOW:?}");
        assert!(most <= allowed_count(count), "{count}: {most}");
    }
}

proptest! {
    /// Each instance may lack some of the others, which have started within the age of its view.
    #[test]
    fn few_instances_return_together_also_with_views_of_different_age(
        count in 1_usize..=330,
        lacking_counts in prop::collection::vec(0_usize..=4, 330),
        random in any::<u64>(),
    ) {
        let seeds = seeds(count);
        let mut delays = Vec::new();
        for (index, own) in seeds.iter().enumerate() {
            let mut seen = seeds.clone();
            for step in 0..lacking_counts[index] {
                let position = random.rotate_left(u32::try_from(index + step).unwrap());
                seen.swap_remove(usize::try_from(position % seen.len() as u64).unwrap());
                if seen.is_empty() {
                    break;
                }
            }
            delays.push(return_delay(TARGET_SEED, *own, &seen));
        }
        prop_assert!(delays.iter().all(|delay| *delay < MAX_DELAY));
        // Each member that is missing in a view moves an instance by one place and shortens the interval
        // by as much in all.
        let most = max_in_window(delays);
        prop_assert!(most <= allowed_count(count) + 4 * 4, "{most} of {count}");
    }
}
