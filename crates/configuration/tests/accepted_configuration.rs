//! An accepted configuration is in force at every instance within seconds and never reverts. Each
//! run simulates concurrent operators and following instances under injected faults and checks the
//! history.

mod support;

use {
    std::{ops::Range, path::Path},
    support::simulation::{Implementation, Report, run},
};

/// Number of simulated histories in CI. For a soak test, `TEST_SEED` sets the first seed and
/// `TEST_RUNS` the number of histories.
const RUNS_COUNT: u64 = 100;

fn seeds() -> Range<u64> {
    let number = |name| std::env::var(name).ok().and_then(|text| text.parse().ok());
    let first = number("TEST_SEED").unwrap_or(0);
    first..first + number("TEST_RUNS").unwrap_or(RUNS_COUNT)
}

fn run_all(implementation: Implementation) -> Vec<(u64, Report)> {
    let run_seed = |seed| {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build();
        (
            seed,
            runtime
                .expect("runtime")
                .block_on(run(implementation, seed)),
        )
    };
    seeds().map(run_seed).collect()
}

/// Writes the history of a failed run to the directory `TEST_HISTORY_DIR`, if it is set.
fn save_history(seed: u64, report: &Report) {
    let Some(directory) = std::env::var_os("TEST_HISTORY_DIR") else {
        return;
    };
    if report.violations.is_empty() {
        return;
    }
    let path = Path::new(&directory).join(format!("accepted-configuration-{seed}.txt"));
    let text = format!("{:#?}\n{}", report.violations, report.history);
    std::fs::write(path, text).expect("the directory can be written");
}

#[track_caller]
fn total(reports: &[(u64, Report)], count: fn(&Report) -> usize) -> usize {
    reports.iter().map(|(_, report)| count(report)).sum()
}

#[test]
fn accepted_configuration_never_reverts() {
    let reports = run_all(Implementation::Real);
    for (seed, report) in &reports {
        save_history(*seed, report);
        assert!(
            report.violations.is_empty(),
            "seed {seed}: {:?}",
            report.violations
        );
    }
    println!(
        "{} histories, {} operations answered ({} accepted, {} conflicts), {} unknown, {} states \
         observed, {} instances replaced",
        reports.len(),
        total(&reports, |report| report.answers_count),
        total(&reports, |report| report.applied_count),
        total(&reports, |report| report.conflict_count),
        total(&reports, |report| report.unknown_count),
        total(&reports, |report| report.observed_count),
        total(&reports, |report| report.replaced_count),
    );
}

/// Guards against a check too weak to notice lost updates.
#[test]
fn writes_without_compare_and_swap_are_detected() {
    let reports = run_all(Implementation::BlindWriter);
    let caught = total(&reports, |report| {
        usize::from(!report.violations.is_empty())
    });
    println!("caught in {caught} of {} histories", reports.len());
    assert!(caught > 0, "the check does not detect lost updates");
}

/// Guards against a check too weak to notice an instance that reverts to an older configuration.
#[test]
fn publishing_the_latest_arrival_is_detected() {
    let reports = run_all(Implementation::LastArrived);
    let caught = total(&reports, |report| {
        usize::from(!report.violations.is_empty())
    });
    println!("caught in {caught} of {} histories", reports.len());
    assert!(
        caught > 0,
        "the check does not detect a reverted configuration"
    );
}
