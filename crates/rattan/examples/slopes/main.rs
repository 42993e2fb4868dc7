//! Measures how the cost of each role grows with its size, and fits a line to each series. Run by
//! `scripts/slopes.sh`.
//!
//! Entry daemons run as processes; the platform and the targets are stand-ins in this process.
//! Parts without sockets are measured in separate processes, so that memory of one size does not
//! count for the next. Prints one row per series, and writes them as CSV.

// Sizes and counts here are far below 2^52, above which a float loses precision.
#![allow(clippy::cast_precision_loss)]

#[path = "../../tests/support/mod.rs"]
mod support;

mod changes;
mod daemon;
mod entries;
mod fit;
mod front;
mod heartbeats;
mod objects;
mod peer_calls;
mod probe;
mod rounds;
mod series;
mod targets;
mod usage;

use {
    series::Series,
    std::{env, fs, io, path::PathBuf, process::ExitCode, time::Instant},
};

/// Path of the CSV file.
const CSV_PATH: &str = "out/slopes.csv";

#[tokio::main(worker_threads = 4)]
async fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let result = match arguments.iter().map(String::as_str).collect::<Vec<_>>()[..] {
        ["probe", "heartbeats", size] => heartbeats::probe(size).await,
        ["probe", kind, size] => probe::run(kind, size),
        ref wanted => measure(wanted).await,
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("slopes: {error}");
            ExitCode::FAILURE
        }
    }
}

/// All roles that can be measured.
const ROLES: [&str; 9] = [
    "probe",
    "rounds",
    "heartbeats",
    "peer_calls",
    "targets",
    "changes",
    "objects",
    "front",
    "entries",
];

async fn measure_role(role: &str) -> io::Result<Vec<Series>> {
    match role {
        "probe" => probe::measure(),
        "rounds" => rounds::measure(),
        "heartbeats" => heartbeats::measure(),
        "peer_calls" => peer_calls::measure().await,
        "targets" => targets::measure().await,
        "changes" => changes::measure().await,
        "objects" => objects::measure().await,
        "front" => front::measure().await,
        _ => entries::measure().await,
    }
}

/// Measures the given roles, or all if none is given.
async fn measure(wanted: &[&str]) -> io::Result<()> {
    let is_wanted = |name: &str| wanted.is_empty() || wanted.contains(&name);
    let started = Instant::now();
    let mut all = Vec::new();
    println!("{}", Series::HEADER);
    for role in ROLES.into_iter().filter(|role| is_wanted(role)) {
        let rows = measure_role(role).await?;
        for row in &rows {
            println!("{row}");
        }
        all.extend(rows);
    }
    println!("# {} rows in {} s", all.len(), started.elapsed().as_secs());
    write_csv(&all)
}

fn write_csv(all: &[Series]) -> io::Result<()> {
    let path = PathBuf::from(CSV_PATH);
    if let Some(folder) = path.parent() {
        fs::create_dir_all(folder)?;
    }
    let rows: Vec<String> = all.iter().map(Series::csv).collect();
    fs::write(
        path,
        format!("{}\n{}\n", Series::CSV_HEADER, rows.join("\n")),
    )
}
