//! Measures the cost of reading load and cache events of engines for one entry daemon.

use {
    crate::{
        changes::kv_calls,
        daemon::{relayed_bytes, settings},
        series::Series,
        support::test_system::TestSystem,
        usage::{cpu_s, resident_bytes},
    },
    std::{io, time::Duration},
};

/// Time for connections and first reads before the measurement.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Default interval of load reports.
const DEFAULT_INTERVAL_MS: u64 = 250;
/// Longer interval, for comparison.
const LONGER_INTERVAL_MS: u64 = 2_000;
/// Duration of the measurement.
const MEASUREMENT_TIME: Duration = Duration::from_secs(5);

/// Measures idle engines, with load read at the default interval and at a longer one.
pub async fn measure() -> io::Result<Vec<Series>> {
    let mut rows = at_interval(
        DEFAULT_INTERVAL_MS,
        [
            "target reads every 250 ms: cpu us/s",
            "target reads every 250 ms: bytes/s, both ways",
            "target reads every 250 ms: resident bytes of the daemon",
            "holder of all engines: key-value calls/s",
        ],
    )
    .await?;
    let longer = at_interval(
        LONGER_INTERVAL_MS,
        [
            "target reads every 2 s: cpu us/s",
            "target reads every 2 s: bytes/s, both ways",
            "",
            "",
        ],
    );
    rows.extend(longer.await?.into_iter().take(2));
    Ok(rows)
}

async fn at_interval(interval_ms: u64, names: [&'static str; 4]) -> io::Result<Vec<Series>> {
    let mut rows = names.map(|name| Series::new(name, "engines"));
    for engines_count in [2, 8, 16, 32] {
        let mut settings = settings()?;
        settings.entries_count = 1;
        settings.engines_count = engines_count;
        settings.flags = vec![("load-interval-ms", interval_ms.to_string())];
        let system = TestSystem::start(settings).await?;
        for (row, value) in rows.iter_mut().zip(at_rest(&system).await?) {
            row.add(engines_count, value);
        }
    }
    Ok(rows.into())
}

async fn at_rest(system: &TestSystem) -> io::Result<[f64; 4]> {
    tokio::time::sleep(SETTLE_TIME).await;
    let pid = system.entries[0].id();
    let (cpu, bytes, calls) = (cpu_s(pid)?, relayed_bytes(system)[2], kv_calls(system));
    tokio::time::sleep(MEASUREMENT_TIME).await;
    let seconds = MEASUREMENT_TIME.as_secs_f64();
    Ok([
        (cpu_s(pid)? - cpu) * 1e6 / seconds,
        (relayed_bytes(system)[2] - bytes) / seconds,
        resident_bytes(pid)?,
        (kv_calls(system) - calls) / seconds,
    ])
}
