//! Prints the table of results and the goals, and writes the CSV file.

use {
    crate::{condition::Condition, outcome::Outcome, overload::LoadResult},
    std::{fs::File, io, io::Write, path::Path},
};

/// Largest allowed ratios to the best simple policy without faults: share of recomputed tokens, and
/// p95 of the time to first token.
const MAX_RECOMPUTED_RATIO: f64 = 0.5;
const MAX_FIRST_TOKEN_RATIO: f64 = 0.6;
/// Largest allowed ratio of p95 under a fault to p95 without faults.
const MAX_FAULT_RATIO: f64 = 2.0;

/// Prints all outcomes.
pub fn print_table(outcomes: &[Outcome]) {
    println!(
        "\n{:<13}{:<15}{:<16}{:>6}{:>8}{:>8}{:>8}{:>9}{:>9}{:>9}{:>9}{:>6}",
        "deployment",
        "policy",
        "condition",
        "visits",
        "p50 ms",
        "p95 ms",
        "p99 ms",
        "recomp.",
        "link MB",
        "refused",
        "whole/s",
        "lost"
    );
    for outcome in outcomes {
        println!("{outcome}");
    }
}

/// Prints for each goal whether it was met.
pub fn print_targets(outcomes: &[Outcome]) {
    println!();
    for healthy in outcomes.iter().filter(|it| is_own(it) && is_healthy(it)) {
        let deployment = healthy.deployment;
        let simple = || {
            outcomes
                .iter()
                .filter(move |it| it.deployment == deployment && !is_own(it))
        };
        if simple().next().is_some() {
            let recomputed = simple().map(|it| it.recomputed_share);
            let ratio = healthy.recomputed_share / recomputed.fold(f64::INFINITY, f64::min);
            print_verdict(
                deployment,
                "share recomputed to best simple policy",
                ratio,
                MAX_RECOMPUTED_RATIO,
            );
            let first_token = simple().map(|it| it.first_token_ms[1]);
            let ratio = healthy.first_token_ms[1] / first_token.fold(f64::INFINITY, f64::min);
            print_verdict(
                deployment,
                "p95 first token to best simple policy",
                ratio,
                MAX_FIRST_TOKEN_RATIO,
            );
        }
        let faults = outcomes
            .iter()
            .filter(|it| it.deployment == deployment && is_own(it) && !is_healthy(it));
        for fault in faults {
            let ratio = fault.first_token_ms[1] / healthy.first_token_ms[1];
            let name = format!("p95 with {} to healthy", fault.condition);
            print_verdict(deployment, &name, ratio, MAX_FAULT_RATIO);
        }
    }
    let lost: usize = outcomes
        .iter()
        .filter(|it| is_own(it))
        .map(|it| it.lost_count)
        .sum();
    println!(
        "{:<8}lost or stuck visits: {lost}",
        if lost == 0 { "met" } else { "MISSED" }
    );
}

fn print_verdict(deployment: &str, name: &str, ratio: f64, limit: f64) {
    let met = if ratio <= limit { "met" } else { "MISSED" };
    println!("{met:<8}{deployment}: {name} {ratio:.2} (at most {limit:.1})");
}

fn is_own(outcome: &Outcome) -> bool {
    outcome.policy == "cost"
}

fn is_healthy(outcome: &Outcome) -> bool {
    outcome.condition == Condition::Healthy
}

/// Writes all outcomes as CSV.
pub fn write_csv(outcomes: &[Outcome], loads: &[LoadResult], path: &Path) -> io::Result<()> {
    let mut file = File::create(path)?;
    writeln!(
        file,
        "deployment,policy,condition,visits_count,p50_ms,p95_ms,p99_ms,recomputed_share,\
         link_bytes,refused_count,answers_per_s,lost_count"
    )?;
    for it in outcomes {
        let [p50, p95, p99] = it.first_token_ms;
        writeln!(
            file,
            "{},{},{},{},{p50:.1},{p95:.1},{p99:.1},{:.4},{},{},{:.2},{}",
            it.deployment,
            it.policy,
            it.condition,
            it.visits_count,
            it.recomputed_share,
            it.link_bytes,
            it.refused_count,
            it.answers_per_s,
            it.lost_count
        )?;
    }
    for load in loads {
        writeln!(file, "{}", load.csv())?;
    }
    Ok(())
}
