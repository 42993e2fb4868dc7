//! Measures the network cost of directory lookups, directory updates and record copies.

use {
    crate::{
        heartbeats::TestInstance,
        probe::{later_steps, record},
        series::Series,
        usage::cpu_s,
    },
    cluster::DirectoryUpdate,
    decision::{RecordBuffer, RecordBufferLimits},
    prefix::BlockKey,
    std::{
        io,
        time::{Duration, Instant},
    },
    tokio_util::sync::CancellationToken,
};

/// Number of calls per size.
const CALLS_COUNT: usize = 2_000;
/// Timeout of a lookup.
const LOOKUP_TIMEOUT: Duration = Duration::from_secs(1);

/// Measures bytes and CPU time per call. The CPU time includes both ends.
pub async fn measure() -> io::Result<Vec<Series>> {
    let size = "blocks of the prompt";
    let mut lookup_bytes = Series::new("directory look-up: bytes, both ways", size);
    let mut lookup_cpu = Series::new("directory look-up: cpu us, both ends", size);
    let mut update_bytes = Series::new("directory update after a run: bytes, both ways", size);
    let mut record_bytes = Series::new("record copies: bytes, both ways", "records");
    let token = CancellationToken::new();
    let (calling_instance, serving_instance) = (
        TestInstance::start(0, &token).await?,
        TestInstance::start(1, &token).await?,
    );
    let (peers, to) = (
        calling_instance.cluster.peers(),
        serving_instance.cluster.own_member().peer_address,
    );
    let account = "countertop-chain".to_owned();
    let traffic_bytes = || peers.traffic().sent_bytes() + peers.traffic().received_bytes();
    for blocks_count in [2, 4, 8, 16] {
        let keys: Vec<BlockKey> = vec![[7; 32]; blocks_count];
        peers
            .lookup(to, LOOKUP_TIMEOUT, &account, &keys)
            .await
            .map_err(io::Error::other)?;
        let (bytes, cpu) = (traffic_bytes(), cpu_s(std::process::id())?);
        for _ in 0..CALLS_COUNT {
            peers
                .lookup(to, LOOKUP_TIMEOUT, &account, &keys)
                .await
                .map_err(io::Error::other)?;
        }
        let calls = CALLS_COUNT as f64;
        lookup_bytes.add(blocks_count, (traffic_bytes() - bytes) as f64 / calls);
        lookup_cpu.add(
            blocks_count,
            (cpu_s(std::process::id())? - cpu) * 1e6 / calls,
        );
        let bytes = traffic_bytes();
        let used = DirectoryUpdate::Used {
            client_account: account.clone(),
            keys,
        };
        peers
            .record(to, vec![used])
            .await
            .map_err(io::Error::other)?;
        update_bytes.add(blocks_count, (traffic_bytes() - bytes) as f64);
    }
    for records_count in [5, 10, 20, 40] {
        let mut ring = RecordBuffer::new(RecordBufferLimits::default());
        for index in 0..records_count {
            let record = record(index);
            let request = record.request.clone();
            ring.insert(record, Instant::now());
            for step in later_steps(index) {
                ring.append(&request, step, Instant::now());
            }
        }
        let parts = ring.take_unreplicated(usize::MAX);
        let bytes = traffic_bytes();
        peers
            .replicate(to, &parts)
            .await
            .map_err(io::Error::other)?;
        record_bytes.add(records_count, (traffic_bytes() - bytes) as f64);
    }
    token.cancel();
    Ok(vec![lookup_bytes, lookup_cpu, update_bytes, record_bytes])
}
