//! What reading the load and the cache events of engines costs one entry daemon.

use {
    crate::{
        daemon::{relayed_bytes, settings},
        series::Series,
        support::world::World,
        usage::{cpu_s, resident_bytes},
    },
    std::{io, time::Duration},
};

/// Time for connections and first reads before the measurement.
const SETTLE: Duration = Duration::from_secs(2);
/// Length of the measurement.
const MEASURED: Duration = Duration::from_secs(5);

/// Idle engines; load is read at the daemon's default interval of 250 ms.
pub async fn measure() -> io::Result<Vec<Series>> {
    let size = "engines";
    let mut cpu = Series::new("target reads: cpu us/s", size);
    let mut bytes = Series::new("target reads: bytes/s, both ways", size);
    let mut memory = Series::new("target reads: resident bytes of the daemon", size);
    for engines_count in [2, 8, 16, 32] {
        let mut settings = settings()?;
        settings.entries_count = 1;
        settings.engines_count = engines_count;
        let world = World::start(settings).await?;
        tokio::time::sleep(SETTLE).await;
        let pid = world.entries[0].id();
        let (cpu_before, bytes_before) = (cpu_s(pid)?, relayed_bytes(&world)[2]);
        tokio::time::sleep(MEASURED).await;
        let seconds = MEASURED.as_secs_f64();
        cpu.add(engines_count, (cpu_s(pid)? - cpu_before) * 1e6 / seconds);
        bytes.add(
            engines_count,
            (relayed_bytes(&world)[2] - bytes_before) / seconds,
        );
        memory.add(engines_count, resident_bytes(pid)?);
    }
    Ok(vec![cpu, bytes, memory])
}
