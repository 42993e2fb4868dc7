//! Which requests are served under overload.

mod support;

use {
    admission::{Admission, Limits, OfferOutcome, Ticket},
    catalog::ClientAccount,
    proptest::prelude::*,
    std::{
        collections::{BTreeSet, HashMap},
        time::{Duration, Instant},
    },
    support::account,
};

const SLOTS_COUNT: u32 = 10;
/// Time that each request runs.
const SERVICE_TIME: Duration = Duration::from_millis(100);

fn new_admission(now: Instant) -> Admission {
    let limits = Limits {
        max_running_count: SLOTS_COUNT,
        max_wait: Duration::from_millis(500),
    };
    Admission::new(limits, now)
}

/// Results of the requests of one account.
#[derive(Debug, Default)]
struct Tally {
    offered_count: u32,
    completed_count: u32,
    refused_count: u32,
    longest_wait: Duration,
}

/// Simulates one minute in which each account offers requests at a fixed rate per second; each
/// request runs for 100 ms.
fn simulate(offered_load: &[(ClientAccount, u32)]) -> HashMap<String, Tally> {
    let start = Instant::now();
    let mut admission = new_admission(start);
    let mut tallies: HashMap<String, Tally> = HashMap::new();
    let mut waiting: HashMap<Ticket, (String, Duration)> = HashMap::new();
    let mut scheduled_ends: Vec<(Duration, String)> = Vec::new();
    for tick_ms in 0..60_000u64 {
        let elapsed = Duration::from_millis(tick_ms);
        let now = start + elapsed;
        let ended: Vec<_> = scheduled_ends
            .extract_if(.., |it| it.0 <= elapsed)
            .collect();
        for (_, name) in ended {
            admission.release(&name, SERVICE_TIME, now);
            tallies.get_mut(&name).unwrap().completed_count += 1;
        }
        for ticket in admission.start_waiting(now) {
            let (name, since) = waiting.remove(&ticket).unwrap();
            let tally = tallies.get_mut(&name).unwrap();
            tally.longest_wait = tally.longest_wait.max(elapsed.saturating_sub(since));
            scheduled_ends.push((elapsed + SERVICE_TIME, name));
        }
        for (ticket, refused) in admission.refuse_expired(now) {
            assert!(refused.retry_after > Duration::ZERO);
            let (name, _) = waiting.remove(&ticket).unwrap();
            tallies.get_mut(&name).unwrap().refused_count += 1;
        }
        for (account, per_s) in offered_load {
            let arrivals_before = |ms: u64| ms * u64::from(*per_s) / 1_000;
            for _ in arrivals_before(tick_ms)..arrivals_before(tick_ms + 1) {
                let tally = tallies.entry(account.name.clone()).or_default();
                tally.offered_count += 1;
                match admission.offer(account, 1_000, 0, now) {
                    OfferOutcome::Admitted => {
                        scheduled_ends.push((elapsed + SERVICE_TIME, account.name.clone()));
                    }
                    OfferOutcome::Queued(ticket) => {
                        waiting.insert(ticket, (account.name.clone(), elapsed));
                    }
                    OfferOutcome::Refused(refused) => {
                        assert!(refused.retry_after >= Duration::from_millis(50));
                        tally.refused_count += 1;
                    }
                }
            }
        }
    }
    tallies
}

#[test]
fn goodput_holds_at_twice_and_five_times_the_capacity() {
    for load_factor in [1, 2, 5] {
        let offered_load = [(account("kitchens", 1_000), 100 * load_factor)];
        let tally = &simulate(&offered_load)["kitchens"];
        assert!(
            tally.completed_count >= 5_800,
            "{load_factor}: {tally:?}, capacity is 6,000"
        );
        assert!(
            tally.longest_wait <= Duration::from_millis(500),
            "{load_factor}: {tally:?}"
        );
    }
}

#[test]
fn large_account_does_not_starve_a_small_one() {
    let tallies = simulate(&[
        (account("large", 1_000), 500),
        (account("small", 1_000), 40),
    ]);
    assert!(tallies["small"].refused_count == 0, "{tallies:?}");
    assert!(
        tallies["small"].completed_count >= 2_370,
        "{tallies:?}, 2,400 requests were offered"
    );
    assert!(
        tallies["large"].completed_count >= 3_400,
        "{tallies:?}, capacity for 3,600 is left"
    );
}

#[test]
fn weights_divide_contended_capacity() {
    let heavy = ClientAccount {
        weight: 3,
        ..account("heavy", 1_000)
    };
    let tallies = simulate(&[(heavy, 300), (account("light", 1_000), 300)]);
    let ratio =
        f64::from(tallies["heavy"].completed_count) / f64::from(tallies["light"].completed_count);
    assert!((2.7..=3.3).contains(&ratio), "{ratio}: {tallies:?}");
}

#[test]
fn higher_priority_goes_first_within_an_account() {
    let now = Instant::now();
    let mut admission = new_admission(now);
    let kitchens = account("kitchens", 1_000);
    for _ in 0..SLOTS_COUNT {
        assert_eq!(
            admission.offer(&kitchens, 1, 0, now),
            OfferOutcome::Admitted
        );
    }
    let OfferOutcome::Queued(low_priority) = admission.offer(&kitchens, 1, 0, now) else {
        panic!("expected a queue");
    };
    let OfferOutcome::Queued(high_priority) = admission.offer(&kitchens, 1, 9, now) else {
        panic!("expected a queue");
    };
    admission.release(&kitchens.name, SERVICE_TIME, now);
    assert_eq!(admission.start_waiting(now), [high_priority]);
    admission.cancel(low_priority);
    admission.release(&kitchens.name, SERVICE_TIME, now);
    assert!(admission.start_waiting(now).is_empty());
}

#[test]
fn token_rate_limit_holds_over_time() {
    let start = Instant::now();
    let mut admission = new_admission(start);
    let slow = ClientAccount {
        tokens_per_s: 1_000,
        ..account("slow", 1_000)
    };
    let mut admitted_count = 0;
    let mut now = start;
    while now < start + Duration::from_mins(2) {
        match admission.try_admit(&slow, 2_500, now) {
            Ok(()) => {
                admission.release(&slow.name, SERVICE_TIME, now);
                admitted_count += 1;
            }
            Err(refused) => {
                assert!(refused.limit.contains("tokens_per_s"));
                now += refused.retry_after;
            }
        }
    }
    assert!(
        (50..=53).contains(&admitted_count),
        "{admitted_count}: the rate allows 48, the burst 4 more"
    );
}

proptest! {
    #[test]
    fn requests_end_exactly_once_and_limits_hold(
        steps in prop::collection::vec((0..3usize, 0..4u8, 0..200u64), 1..300),
    ) {
        let start = Instant::now();
        let mut now = start;
        let mut admission = new_admission(now);
        let accounts = [account("a", 4), account("b", 8), account("c", 100)];
        let mut running = [0u32; 3];
        let mut waiting: HashMap<Ticket, usize> = HashMap::new();
        for (account_index, action, elapsed_ms) in steps {
            now += Duration::from_millis(elapsed_ms);
            match action {
                0 if running[account_index] > 0 => {
                    admission.release(&accounts[account_index].name, SERVICE_TIME, now);
                    running[account_index] -= 1;
                }
                1 => for (ticket, _) in admission.refuse_expired(now) {
                    prop_assert!(waiting.remove(&ticket).is_some());
                },
                _ => match admission.offer(&accounts[account_index], 10, 0, now) {
                    OfferOutcome::Admitted => running[account_index] += 1,
                    OfferOutcome::Queued(ticket) => prop_assert!(waiting.insert(ticket, account_index).is_none()),
                    OfferOutcome::Refused(refused) => prop_assert!(refused.retry_after > Duration::ZERO),
                },
            }
            for ticket in admission.start_waiting(now) {
                running[waiting.remove(&ticket).unwrap()] += 1;
            }
            prop_assert!(running.iter().sum::<u32>() <= SLOTS_COUNT);
            prop_assert!(running[0] <= 4 && running[1] <= 8);
            prop_assert_eq!(admission.running_count(), running.iter().sum::<u32>());
            prop_assert_eq!(admission.waiting_count(), waiting.len());
        }
        let tickets: BTreeSet<_> = waiting.keys().collect();
        prop_assert_eq!(tickets.len(), waiting.len());
    }
}
