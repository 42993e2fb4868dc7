//! Several instances, targets, stores and callers on a simulated network and in simulated time: what
//! callers and targets see agrees with what the instances have promised.

mod calls;
mod endings;
mod instance;
mod links;
mod machine;
mod parts_view;
mod prompts;
mod report;
mod service;
mod statements;
mod stores;
mod targets;
mod world;

use {
    machine::{Machine, Model},
    proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
    proptest_state_machine::{ReferenceStateMachine, StateMachineTest},
    std::{
        env,
        ops::Range,
        sync::atomic::{AtomicBool, AtomicU64, Ordering},
    },
};

/// Number of seeds in CI. For a soak test, `TEST_SEED` sets the first seed and `TEST_RUNS` the number
/// of seeds.
const RUNS_COUNT: u64 = 3;
/// Number of cases of each seed.
const CASES_COUNT: u32 = 100;
/// Number of shorter cases that are tried to explain a failure.
const MAX_SHRINK_COUNT: u32 = 300;

fn seeds() -> Range<u64> {
    let number = |name| env::var(name).ok()?.parse::<u64>().ok();
    let first = number("TEST_SEED").unwrap_or(0);
    first..first + number("TEST_RUNS").unwrap_or(RUNS_COUNT)
}

/// Runs the cases of one seed. Returns how many held before the first that did not, and why.
fn run(seed: u64) -> Result<(), (u64, String)> {
    let config = Config {
        cases: CASES_COUNT,
        failure_persistence: None,
        max_shrink_iters: MAX_SHRINK_COUNT,
        ..Config::default()
    };
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let random = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
    let mut runner = TestRunner::new_with_rng(config.clone(), random);
    let (held_count, has_failed) = (AtomicU64::new(0), AtomicBool::new(false));
    let outcome = runner.run(
        &Machine::sequential_strategy(10..40),
        |(size, steps, seen)| {
            // Stays set if the case panics, so that the shorter ones tried after it do not count.
            let is_first = !has_failed.swap(true, Ordering::Relaxed);
            Model::test_sequential(config.clone(), size, steps, seen);
            if is_first {
                has_failed.store(false, Ordering::Relaxed);
                held_count.fetch_add(1, Ordering::Relaxed);
            }
            Ok(())
        },
    );
    outcome.map_err(|error| (held_count.into_inner(), error.to_string()))
}

/// Guards against promises that are inferred from finding nothing that speaks against them.
#[test]
fn promises_agree_with_what_callers_and_targets_see() {
    for seed in seeds() {
        if let Err((held_count, error)) = run(seed) {
            panic!("seed {seed}, after {held_count} cases: {error}");
        }
    }
    println!("{} cases of each seed: {:?}", CASES_COUNT, report::total());
}
