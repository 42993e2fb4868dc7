//! Measures the memory of an entry daemon by number of configured objects.

use {
    crate::{
        daemon::settings,
        series::Series,
        support::{objects, test_system::TestSystem},
        usage::resident_bytes,
    },
    serde_json::Value,
    std::{io, net::SocketAddr, time::Duration},
};

/// Time for the objects to get in force.
const SETTLE_TIME: Duration = Duration::from_secs(1);
/// Number of objects in one call.
const BATCH_COUNT: usize = 100;

/// Measures memory by client accounts, and by targets that are not polled.
pub async fn measure() -> io::Result<Vec<Series>> {
    let accounts = Series::new(
        "configuration: resident bytes of the daemon",
        "client accounts",
    );
    let targets = Series::new("configuration: resident bytes of the daemon", "targets");
    let account =
        |index: usize| objects::account(&format!("account-{index:04}"), &format!("key-{index}"));
    let target = |index: usize| {
        let port = u16::try_from(index + 1).unwrap_or(u16::MAX);
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        objects::service(&format!("extra-{index:04}"), address)
    };
    Ok(vec![
        measure_growth(accounts, &[100, 250, 510], account).await?,
        measure_growth(targets, &[500, 1_250, 2_500], target).await?,
    ])
}

async fn measure_growth<Build>(mut row: Series, sizes: &[usize], build: Build) -> io::Result<Series>
where
    Build: Fn(usize) -> Value,
{
    for size in sizes {
        let mut settings = settings()?;
        settings.entries_count = 1;
        let system = TestSystem::start(settings).await?;
        let objects: Vec<Value> = (0..*size).map(&build).collect();
        for batch in objects.chunks(BATCH_COUNT) {
            system.apply(batch).await?;
        }
        tokio::time::sleep(SETTLE_TIME).await;
        row.add(*size, resident_bytes(system.entries[0].id())?);
    }
    Ok(row)
}
