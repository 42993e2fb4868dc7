//! Who is served when more is offered than runs at once.

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

const SLOTS: u32 = 10;
/// How long each request runs.
const RAN: Duration = Duration::from_millis(100);

fn instance(now: Instant) -> Admission {
    let limits = Limits {
        max_running_count: SLOTS,
        max_wait: Duration::from_millis(500),
        account_share: 1.0,
    };
    Admission::new(limits, now)
}

/// What became of the requests of one account.
#[derive(Debug, Default)]
struct Tally {
    offered_count: u32,
    done_count: u32,
    refused_count: u32,
    longest_wait: Duration,
}

/// Offers requests at fixed rates for a minute; each runs for 100 ms. Returns the tallies.
fn run(offers: &[(ClientAccount, u32)]) -> HashMap<String, Tally> {
    let start = Instant::now();
    let mut admission = instance(start);
    let mut tallies: HashMap<String, Tally> = HashMap::new();
    let mut waiting: HashMap<Ticket, (String, Duration)> = HashMap::new();
    let mut ends: Vec<(Duration, String)> = Vec::new();
    for tick_ms in 0..60_000u64 {
        let passed = Duration::from_millis(tick_ms);
        let now = start + passed;
        let ended: Vec<_> = ends.extract_if(.., |it| it.0 <= passed).collect();
        for (_, name) in ended {
            admission.release(&name, RAN, now);
            tallies.get_mut(&name).unwrap().done_count += 1;
        }
        for ticket in admission.start_waiting(now) {
            let (name, since) = waiting.remove(&ticket).unwrap();
            let tally = tallies.get_mut(&name).unwrap();
            tally.longest_wait = tally.longest_wait.max(passed.saturating_sub(since));
            ends.push((passed + RAN, name));
        }
        for (ticket, refused) in admission.refuse_expired(now) {
            assert!(refused.retry_after > Duration::ZERO);
            let (name, _) = waiting.remove(&ticket).unwrap();
            tallies.get_mut(&name).unwrap().refused_count += 1;
        }
        for (account, per_s) in offers {
            let due = |ms: u64| ms * u64::from(*per_s) / 1_000;
            for _ in due(tick_ms)..due(tick_ms + 1) {
                let tally = tallies.entry(account.name.clone()).or_default();
                tally.offered_count += 1;
                match admission.offer(account, 1_000, 0, now) {
                    OfferOutcome::Admitted => {
                        ends.push((passed + RAN, account.name.clone()));
                    }
                    OfferOutcome::Queued(ticket) => {
                        waiting.insert(ticket, (account.name.clone(), passed));
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
    for factor in [1, 2, 5] {
        let offers = [(account("kitchens", 1_000), 100 * factor)];
        let tally = &run(&offers)["kitchens"];
        assert!(
            tally.done_count >= 5_800,
            "{factor}: {tally:?}, capacity is 6,000"
        );
        assert!(
            tally.longest_wait <= Duration::from_millis(500),
            "{factor}: {tally:?}"
        );
    }
}

#[test]
fn a_large_account_does_not_starve_a_small_one() {
    let tallies = run(&[
        (account("large", 1_000), 500),
        (account("small", 1_000), 40),
    ]);
    assert!(tallies["small"].refused_count == 0, "{tallies:?}");
    assert!(
        tallies["small"].done_count >= 2_370,
        "{tallies:?}, 2,400 were offered"
    );
    assert!(
        tallies["large"].done_count >= 3_400,
        "{tallies:?}, 3,600 are left over"
    );
}

#[test]
fn weights_divide_what_is_contended() {
    let heavy = ClientAccount {
        weight: 3,
        ..account("heavy", 1_000)
    };
    let tallies = run(&[(heavy, 300), (account("light", 1_000), 300)]);
    let ratio = f64::from(tallies["heavy"].done_count) / f64::from(tallies["light"].done_count);
    assert!((2.7..=3.3).contains(&ratio), "{ratio}: {tallies:?}");
}

#[test]
fn higher_priority_goes_first_within_an_account() {
    let now = Instant::now();
    let mut admission = instance(now);
    let kitchens = account("kitchens", 1_000);
    for _ in 0..SLOTS {
        assert_eq!(
            admission.offer(&kitchens, 1, 0, now),
            OfferOutcome::Admitted
        );
    }
    let OfferOutcome::Queued(batch) = admission.offer(&kitchens, 1, 0, now) else {
        panic!("expected a queue");
    };
    let OfferOutcome::Queued(urgent) = admission.offer(&kitchens, 1, 9, now) else {
        panic!("expected a queue");
    };
    admission.release(&kitchens.name, RAN, now);
    assert_eq!(admission.start_waiting(now), [urgent]);
    admission.cancel(batch);
    admission.release(&kitchens.name, RAN, now);
    assert!(admission.start_waiting(now).is_empty());
}

#[test]
fn the_token_rate_holds_in_the_long_run() {
    let start = Instant::now();
    let mut admission = instance(start);
    let slow = ClientAccount {
        tokens_per_s: 1_000,
        ..account("slow", 1_000)
    };
    let mut admitted_count = 0;
    let mut now = start;
    while now < start + Duration::from_mins(2) {
        match admission.try_admit(&slow, 2_500, now) {
            Ok(()) => {
                admission.release(&slow.name, RAN, now);
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
        "{admitted_count}: 48 and a burst of 4"
    );
}

proptest! {
    #[test]
    fn every_request_has_one_end_and_limits_hold(
        steps in prop::collection::vec((0..3usize, 0..4u8, 0..200u64), 1..300),
    ) {
        let start = Instant::now();
        let mut now = start;
        let mut admission = instance(now);
        let accounts = [account("a", 4), account("b", 8), account("c", 100)];
        let mut running = [0u32; 3];
        let mut waiting: HashMap<Ticket, usize> = HashMap::new();
        for (who, action, passed_ms) in steps {
            now += Duration::from_millis(passed_ms);
            match action {
                0 if running[who] > 0 => {
                    admission.release(&accounts[who].name, RAN, now);
                    running[who] -= 1;
                }
                1 => for (ticket, _) in admission.refuse_expired(now) {
                    prop_assert!(waiting.remove(&ticket).is_some());
                },
                _ => match admission.offer(&accounts[who], 10, 0, now) {
                    OfferOutcome::Admitted => running[who] += 1,
                    OfferOutcome::Queued(ticket) => prop_assert!(waiting.insert(ticket, who).is_none()),
                    OfferOutcome::Refused(refused) => prop_assert!(refused.retry_after > Duration::ZERO),
                },
            }
            for ticket in admission.start_waiting(now) {
                running[waiting.remove(&ticket).unwrap()] += 1;
            }
            prop_assert!(running.iter().sum::<u32>() <= SLOTS);
            prop_assert!(running[0] <= 4 && running[1] <= 8);
            prop_assert_eq!(admission.running_count(), running.iter().sum::<u32>());
            prop_assert_eq!(admission.waiting_count(), waiting.len());
        }
        let tickets: BTreeSet<_> = waiting.keys().collect();
        prop_assert_eq!(tickets.len(), waiting.len());
    }
}
