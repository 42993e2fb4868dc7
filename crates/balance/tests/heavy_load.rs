//! The heaviest days, played on the choice alone: a third of the targets gone, and half as many calls
//! again. No kind of session may be left without a target, none be shut out of its own for long.

use {
    balance::{Candidate, choose, rendezvous},
    proptest::prelude::*,
    std::collections::{HashMap, HashSet},
};

/// Steps of a played day; in each, calls arrive and calls end.
const STEPS_COUNT: usize = 4_000;
/// Steps that a call is under way.
const CALL_STEPS_COUNT: usize = 40;
/// Calls under way at a target, with the usual load.
const USUAL_COUNT: usize = 5;

/// What callers got.
#[derive(Debug, Default)]
struct Day {
    /// Most calls that a target had at once.
    most_count: f64,
    /// Calls that went to the target that had the session's call before.
    stayed_count: usize,
    calls_count: usize,
    /// Targets that each session went to.
    targets_of: HashMap<u64, HashSet<usize>>,
}

struct Load {
    targets_count: usize,
    sessions_count: u64,
    /// Calls that arrive in one step.
    arrivals_per_step: usize,
}

/// Plays a day; `random` gives a number below its argument.
fn play<Random>(load: &Load, mut random: Random) -> Day
where
    Random: FnMut(u64) -> u64,
{
    let names = (0..load.targets_count).map(|index| format!("engine-{index}"));
    let mut pool: Vec<Candidate> = names
        .map(|name| Candidate::new(rendezvous::member_seed(&name), 48))
        .collect();
    let mut day = Day::default();
    let mut last: HashMap<u64, usize> = HashMap::new();
    let mut under_way: Vec<(usize, usize)> = Vec::new();
    for step in 0..STEPS_COUNT {
        under_way.retain(|(ends, target)| {
            if *ends <= step {
                pool[*target].in_flight_count -= 1.0;
            }
            *ends > step
        });
        for _ in 0..load.arrivals_per_step {
            let session = random(load.sessions_count);
            for (index, candidate) in pool.iter_mut().enumerate() {
                candidate.has_session_prefix = last.get(&session) == Some(&index);
            }
            let key = rendezvous::key_seed(&session.to_le_bytes());
            let chosen = choose(&pool, Some(key), random(u64::MAX)).expect("a target");
            pool[chosen].in_flight_count += 1.0;
            day.most_count = day.most_count.max(pool[chosen].in_flight_count);
            day.calls_count += 1;
            day.stayed_count += usize::from(last.insert(session, chosen) == Some(chosen));
            day.targets_of.entry(session).or_default().insert(chosen);
            under_way.push((step + CALL_STEPS_COUNT, chosen));
        }
    }
    day
}

/// A generator that repeats itself for equal seeds.
fn generator(seed: u64) -> impl FnMut(u64) -> u64 {
    let mut state = seed;
    move |below| {
        state = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        rendezvous::score(state, seed) % below.max(1)
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(12))]

    #[test]
    fn load_spreads_and_sessions_stay_when_a_third_of_the_targets_is_gone(seed: u64) {
        let targets_count = 12;
        let load = Load {
            targets_count,
            sessions_count: 470,
            arrivals_per_step: 18 * USUAL_COUNT * 3 / 2 / CALL_STEPS_COUNT,
        };
        let day = play(&load, generator(seed));
        #[allow(clippy::cast_precision_loss)]
        let mean_count = (load.arrivals_per_step * CALL_STEPS_COUNT) as f64 / targets_count as f64;
        prop_assert!(day.most_count <= mean_count * 2.0 + 6.0, "{} of {mean_count}", day.most_count);
        prop_assert!(day.stayed_count * 2 > day.calls_count, "{} of {}", day.stayed_count, day.calls_count);
        prop_assert_eq!(day.targets_of.len(), 470, "every session was served");
    }

    #[test]
    fn hot_session_does_not_drown_its_target(seed: u64) {
        let mut random = generator(seed);
        // Every second call belongs to one session.
        let day = play(
            &Load { targets_count: 18, sessions_count: 940, arrivals_per_step: 3 },
            move |below| {
                let drawn = random(below);
                if below == 940 && drawn < 470 { 0 } else { drawn }
            },
        );
        #[allow(clippy::cast_precision_loss)]
        let mean_count = (3 * CALL_STEPS_COUNT) as f64 / 18.0;
        prop_assert!(day.most_count <= mean_count * 2.0 + 6.0, "{} of {mean_count}", day.most_count);
        prop_assert!(day.targets_of[&0].len() > 1, "it spills");
    }
}
