//! Simulates `choose` under overload: a third of the targets is gone and there are 50 % more calls.
//!
//! Guards against targets that get far more calls than the others, sessions that lose their target
//! on most calls, and sessions without a target.

use {
    balance::{Candidate, choose, rendezvous},
    proptest::prelude::*,
    std::collections::{HashMap, HashSet},
};

/// Number of simulation steps; in each step calls arrive and calls end.
const STEPS_COUNT: usize = 4_000;
/// Number of steps that a call lasts.
const CALL_DURATION_STEPS: usize = 40;
/// Number of calls in flight to a target under the usual load.
const USUAL_IN_FLIGHT_COUNT: usize = 5;

/// Result of a simulation.
#[derive(Debug, Default)]
struct Outcome {
    /// Largest number of calls in flight to one target.
    max_in_flight_count: f64,
    /// Number of calls that went to the target of the session's previous call.
    stayed_count: usize,
    calls_count: usize,
    /// Targets that each session was sent to.
    session_targets: HashMap<u64, HashSet<usize>>,
}

struct Workload {
    targets_count: usize,
    sessions_count: u64,
    /// Number of calls that arrive in one step.
    arrivals_per_step: usize,
}

/// Runs a simulation; `random_below` returns a number below its argument.
fn simulate<Random>(workload: &Workload, mut random_below: Random) -> Outcome
where
    Random: FnMut(u64) -> u64,
{
    let names = (0..workload.targets_count).map(|index| format!("engine-{index}"));
    let mut candidates: Vec<Candidate> = names
        .map(|name| Candidate::new(rendezvous::member_seed(&name), 48))
        .collect();
    let mut outcome = Outcome::default();
    let mut last_target: HashMap<u64, usize> = HashMap::new();
    let mut in_flight: Vec<(usize, usize)> = Vec::new();
    for step in 0..STEPS_COUNT {
        in_flight.retain(|(end_step, target)| {
            if *end_step <= step {
                candidates[*target].in_flight_count -= 1.0;
            }
            *end_step > step
        });
        for _ in 0..workload.arrivals_per_step {
            let session = random_below(workload.sessions_count);
            for (index, candidate) in candidates.iter_mut().enumerate() {
                candidate.has_session_prefix = last_target.get(&session) == Some(&index);
            }
            let key = rendezvous::key_seed(&session.to_le_bytes());
            let chosen = choose(&candidates, Some(key), random_below(u64::MAX)).expect("a target");
            candidates[chosen].in_flight_count += 1.0;
            outcome.max_in_flight_count = outcome
                .max_in_flight_count
                .max(candidates[chosen].in_flight_count);
            outcome.calls_count += 1;
            outcome.stayed_count +=
                usize::from(last_target.insert(session, chosen) == Some(chosen));
            outcome
                .session_targets
                .entry(session)
                .or_default()
                .insert(chosen);
            in_flight.push((step + CALL_DURATION_STEPS, chosen));
        }
    }
    outcome
}

/// Returns a deterministic random number generator.
fn seeded_generator(seed: u64) -> impl FnMut(u64) -> u64 {
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
        let workload = Workload {
            targets_count,
            sessions_count: 470,
            arrivals_per_step: 18 * USUAL_IN_FLIGHT_COUNT * 3 / 2 / CALL_DURATION_STEPS,
        };
        let outcome = simulate(&workload, seeded_generator(seed));
        #[allow(clippy::cast_precision_loss)]
        let mean_count = (workload.arrivals_per_step * CALL_DURATION_STEPS) as f64 / targets_count as f64;
        prop_assert!(outcome.max_in_flight_count <= mean_count * 2.0 + 6.0, "{} of {mean_count}", outcome.max_in_flight_count);
        prop_assert!(outcome.stayed_count * 2 > outcome.calls_count, "{} of {}", outcome.stayed_count, outcome.calls_count);
        prop_assert_eq!(outcome.session_targets.len(), 470, "every session was served");
    }

    #[test]
    fn hot_session_does_not_overload_its_target(seed: u64) {
        let mut random_below = seeded_generator(seed);
        // Half of the calls belong to one session.
        let outcome = simulate(
            &Workload { targets_count: 18, sessions_count: 940, arrivals_per_step: 3 },
            move |below| {
                let drawn = random_below(below);
                if below == 940 && drawn < 470 { 0 } else { drawn }
            },
        );
        #[allow(clippy::cast_precision_loss)]
        let mean_count = (3 * CALL_DURATION_STEPS) as f64 / 18.0;
        prop_assert!(outcome.max_in_flight_count <= mean_count * 2.0 + 6.0, "{} of {mean_count}", outcome.max_in_flight_count);
        prop_assert!(outcome.session_targets[&0].len() > 1, "the session spills to other targets");
    }
}
