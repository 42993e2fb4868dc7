//! Measures the cost of callers' requests for entry addresses.

use {
    crate::{
        daemon::settings,
        series::Series,
        support::{http::Connection, objects::CALLER_KEY, test_system::TestSystem},
        usage::cpu_s,
    },
    hyper::Method,
    serde_json::Value,
    std::{
        io,
        time::{Duration, Instant},
    },
};

/// Time for the daemons to learn of each other.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Measures CPU time by number of requests over one connection, and bytes by number of entries.
pub async fn measure() -> io::Result<Vec<Series>> {
    let mut cpu = Series::new("address look-ups: cpu us", "look-ups");
    let mut bytes = Series::new("address look-ups: bytes of the answer", "entry daemons");
    for entries_count in [2, 4, 8] {
        let mut settings = settings()?;
        settings.entries_count = entries_count;
        let system = TestSystem::start(settings).await?;
        tokio::time::sleep(SETTLE_TIME).await;
        let mut caller = Connection::open(system.entries[0].address, CALLER_KEY).await?;
        let (_, answer) = caller
            .call(Method::GET, "/v1/entries", &Value::Null)
            .await?;
        bytes.add(entries_count, answer.len() as f64);
        if entries_count == 8 {
            for lookups_count in [500, 1_000, 2_000, 4_000] {
                cpu.add(
                    lookups_count,
                    spent_us(&system, &mut caller, lookups_count).await?,
                );
            }
        }
    }
    Ok(vec![cpu, bytes])
}

/// CPU time of the daemon for `count` requests, without its idle CPU time, in microseconds.
async fn spent_us(system: &TestSystem, caller: &mut Connection, count: usize) -> io::Result<f64> {
    let pid = system.entries[0].id();
    let before = cpu_s(pid)?;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let idle = cpu_s(pid)? - before;
    let (before, started) = (cpu_s(pid)?, Instant::now());
    for _ in 0..count {
        caller
            .call(Method::GET, "/v1/entries", &Value::Null)
            .await?;
    }
    Ok((cpu_s(pid)? - before - idle * started.elapsed().as_secs_f64()) * 1e6)
}
