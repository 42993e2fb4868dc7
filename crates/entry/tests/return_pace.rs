//! How instances spread their calls after the key-value service came back from an older copy.

use {entry::ReturnPace, std::time::Duration};

/// Number of instances of the largest deployment.
const INSTANCES_COUNT: u32 = 320;
/// Writes per second that its service takes.
const WRITES_PER_S: u32 = 400;
/// Writes of an instance that registers: its lease and its record.
const WRITES_COUNT: u32 = 2;
/// Reads per second that its service takes.
const READS_PER_S: u32 = 2_000;
/// Pages of 500 items on which 2,500 targets and the instances are read.
const PAGES_COUNT: u32 = 6;
/// Time to live of a lease, which is renewed three times in it.
const LEASE_TTL: Duration = Duration::from_secs(2);
/// Time for which an instance is kept that is not registered.
const KEEPING_TIME: Duration = Duration::from_millis(2_500);
const WINDOW: Duration = Duration::from_millis(100);

fn most_in_a_window(delays: &[Duration]) -> u32 {
    let in_window = |from: &Duration| {
        let inside = delays
            .iter()
            .filter(|at| **at >= *from && **at < *from + WINDOW);
        u32::try_from(inside.count()).unwrap()
    };
    delays.iter().map(in_window).max().unwrap()
}

fn delays<Delay>(instances_count: u32, delay: Delay) -> Vec<Duration>
where
    Delay: Fn(ReturnPace) -> Duration,
{
    let paces = (0..instances_count).map(|rank| ReturnPace {
        rank,
        instances_count,
    });
    paces.map(delay).collect()
}

/// Guards against a fleet that writes all at once and is refused.
#[test]
fn registrations_of_a_large_fleet_stay_within_the_rate_of_the_service() {
    let delays = delays(INSTANCES_COUNT, ReturnPace::registration_delay);
    let writes_count = most_in_a_window(&delays) * WRITES_COUNT;
    assert!(
        writes_count * 10 <= WRITES_PER_S,
        "{writes_count} in {WINDOW:?}"
    );
    let longest = delays.iter().max().copied().unwrap();
    assert!(LEASE_TTL / 3 + longest < KEEPING_TIME, "{longest:?}");
}

#[test]
fn listings_of_a_large_fleet_stay_within_the_rate_of_the_service() {
    let delays = delays(INSTANCES_COUNT, ReturnPace::read_delay);
    let reads_count = most_in_a_window(&delays) * PAGES_COUNT;
    assert!(
        reads_count * 10 <= READS_PER_S,
        "{reads_count} in {WINDOW:?}"
    );
}

#[test]
fn few_instances_do_not_wait() {
    let longest = delays(3, ReturnPace::registration_delay).into_iter().max();
    assert!(longest < Some(Duration::from_millis(20)), "{longest:?}");
}
