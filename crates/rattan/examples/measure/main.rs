//! Compares the system with simple routing policies, and with itself under faults.
//!
//! Starts the stand-ins in this process and entry daemons as child processes, sends the workloads
//! of both deployments, and prints one table. `scripts/measure.sh` builds and runs it.
//!
//! `measure RATTAND OUT_DIR [SEED]`

mod chart;
mod condition;
mod deployment;
#[allow(dead_code)]
#[path = "../../tests/support/entry.rs"]
mod entry;
mod outcome;
mod overload;
mod report;
mod run;
mod test_system;
mod visitor;

use {
    condition::Condition,
    deployment::Deployment,
    outcome::Outcome,
    run::{Run, run},
    std::{
        env,
        error::Error,
        path::{Path, PathBuf},
        time::Instant,
    },
};

const DEFAULT_SEED: u64 = 20_261_203;
/// Routing policies to compare. The first one is the default of the system.
const POLICIES: [&str; 4] = ["cost", "round_robin", "least_loaded", "longest_prefix"];

type Failure = Box<dyn Error + Send + Sync>;

#[tokio::main]
async fn main() -> Result<(), Failure> {
    let mut arguments = env::args().skip(1);
    let usage = "use measure RATTAND OUT_DIR [SEED]";
    let binary = PathBuf::from(arguments.next().ok_or(usage)?);
    let out = PathBuf::from(arguments.next().ok_or(usage)?);
    let seed = match arguments.next() {
        Some(seed) => seed.parse()?,
        None => DEFAULT_SEED,
    };
    std::fs::create_dir_all(&out)?;
    let started = Instant::now();
    println!("seed {seed}");
    let deployments = [Deployment::tasboulak(), Deployment::frio_austral()];
    let (left, right) = tokio::try_join!(
        measure(&binary, &deployments[0], seed),
        measure(&binary, &deployments[1], seed),
    )?;
    let outcomes: Vec<Outcome> = left.into_iter().chain(right).collect();
    report::print_table(&outcomes);
    report::print_targets(&outcomes);
    let loads = overload::measure(&binary, &deployments[1], seed).await?;
    overload::print(&loads);
    report::write_csv(&outcomes, &loads, &out.join("measure.csv"))?;
    chart::draw(&outcomes, &out.join("measure.svg"))?;
    println!("took {} s", started.elapsed().as_secs());
    Ok(())
}

/// Runs one deployment with each policy without faults, then with each fault.
async fn measure(
    binary: &Path,
    deployment: &Deployment,
    seed: u64,
) -> Result<Vec<Outcome>, Failure> {
    let wanted = env::var("MEASURE_ONLY").unwrap_or_default();
    let healthy = POLICIES.iter().map(|policy| (*policy, Condition::Healthy));
    let faults = Condition::FAULTS.iter().map(|fault| (POLICIES[0], *fault));
    let mut outcomes = Vec::new();
    for (policy, condition) in healthy.chain(faults) {
        let name = format!("{} {policy} {condition}", deployment.name);
        if !name.contains(&wanted) {
            continue;
        }
        let run_settings = Run {
            binary,
            deployment,
            policy,
            condition,
            seed,
        };
        let outcome = run(&run_settings).await?;
        eprintln!("{outcome}");
        outcomes.push(outcome);
    }
    Ok(outcomes)
}
