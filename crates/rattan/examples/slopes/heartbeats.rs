//! Measures the cost of heartbeats over sockets.

use {
    crate::{
        probe::in_child,
        series::Series,
        usage::{cpu_s, resident_bytes},
    },
    catalog::{ClientAccountId, RequestId, Revision},
    cluster::{
        CatalogCopy, Cluster, DirectoryAnswer, DirectoryUpdate, Heartbeat, HeartbeatAck, HeldBlock,
        Holder, Member, MemberState, PeerHandler, PeerKeys, Peers, TrafficCounters, serve,
    },
    decision::{Record, RecordPart},
    prefix::BlockKey,
    std::{io, sync::Arc, time::Duration},
    tokio::net::TcpListener,
    tokio_util::sync::CancellationToken,
};

const PEER_KEY: &str = "slopes-peer-key-slopes-peer-key";
/// Time for opening connections before the measurement.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Duration of the measurement.
const MEASUREMENT_TIME: Duration = Duration::from_secs(10);

/// An instance in this process.
#[derive(Clone)]
pub struct TestInstance {
    pub cluster: Arc<Cluster>,
}

impl TestInstance {
    /// Starts an instance that answers peers on a free port.
    pub async fn start(index: usize, token: &CancellationToken) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let peer_address = listener.local_addr()?;
        let own = Member {
            instance: format!("entry-{index:03}"),
            address: peer_address,
            peer_address,
            region: "region-0".to_owned(),
            failure_domain: format!("fd-{}", index % 15),
            state: MemberState::Live,
            incarnation: 1_764_800_000_000,
        };
        let keys: PeerKeys = PEER_KEY.parse().map_err(io::Error::other)?;
        let traffic = Arc::<TrafficCounters>::default();
        let peers = Peers::new(keys.clone(), traffic.clone());
        let instance = Self {
            cluster: Arc::new(Cluster::new(own, peers)),
        };
        tokio::spawn(serve(
            listener,
            keys,
            instance.clone(),
            traffic,
            token.clone(),
        ));
        Ok(instance)
    }

    fn traffic(&self) -> &TrafficCounters {
        self.cluster.peers().traffic()
    }
}

impl PeerHandler for TestInstance {
    async fn heartbeat(&self, heartbeat: Heartbeat) -> HeartbeatAck {
        self.cluster.handle_heartbeat(&heartbeat)
    }

    async fn lookup(&self, _: ClientAccountId, keys: Vec<BlockKey>) -> DirectoryAnswer {
        let block = HeldBlock {
            generation: 1_764_800_000,
            size_bytes: 32_000,
            confidence: 1.0,
        };
        let holder = |target: &str| Holder {
            target: target.to_owned(),
            is_store: true,
            blocks: vec![block; keys.len()],
        };
        DirectoryAnswer {
            holders: vec![holder("store-0001"), holder("engine-0001")],
            seen_blocks_count: keys.len(),
            is_complete: true,
        }
    }

    async fn record(&self, _: Vec<DirectoryUpdate>) {}

    async fn replicate(&self, _: Vec<RecordPart>) {}

    async fn decision(&self, _: RequestId) -> Option<Record> {
        None
    }

    async fn catalog(&self, _: Revision) -> Option<CatalogCopy> {
        None
    }
}

/// Measures bytes, CPU time and memory per instance for heartbeats.
pub fn measure() -> io::Result<Vec<Series>> {
    let size = "instances";
    let mut bytes = Series::new("heartbeats: bytes/s a node, both ways", size);
    let mut cpu = Series::new("heartbeats: cpu us/s a node", size);
    let mut connections = Series::new("heartbeats: connections a node, both ways", size);
    let mut memory = Series::new("heartbeats: resident bytes a connection's end", size);
    for count in [8, 16, 32, 64] {
        let [instance_bytes, instance_cpu_us, ends_count, end_bytes] =
            in_child("heartbeats", count)?;
        bytes.add(count, instance_bytes);
        cpu.add(count, instance_cpu_us);
        connections.add(count, ends_count);
        memory.add(count, end_bytes);
    }
    Ok(vec![bytes, cpu, connections, memory])
}

/// Runs `count` instances in this process and prints four numbers: bytes per second and CPU
/// microseconds per second of an instance, its connection ends, and resident bytes of one end.
pub async fn probe(count: &str) -> io::Result<()> {
    let count: usize = count.parse().map_err(io::Error::other)?;
    let token = CancellationToken::new();
    let mut instances = Vec::new();
    for index in 0..count {
        instances.push(TestInstance::start(index, &token).await?);
    }
    let listed: Vec<Member> = instances
        .iter()
        .map(|instance| instance.cluster.own_member())
        .collect();
    let resident_before = own_resident_bytes()?;
    for instance in &instances {
        instance.cluster.apply_instance_list(&listed);
        let (cluster, token) = (instance.cluster.clone(), token.clone());
        tokio::spawn(async move { cluster.run(token).await });
    }
    tokio::time::sleep(SETTLE_TIME).await;
    let (bytes_before, cpu_before) = (total_bytes(&instances), cpu_s(std::process::id())?);
    tokio::time::sleep(MEASUREMENT_TIME).await;
    let instance_seconds = MEASUREMENT_TIME.as_secs_f64() * count as f64;
    let instance_bytes = (total_bytes(&instances) - bytes_before) as f64 / instance_seconds;
    let instance_cpu_us = (cpu_s(std::process::id())? - cpu_before) * 1e6 / instance_seconds;
    let ends: u64 = instances
        .iter()
        .map(|instance| instance.traffic().connections_count())
        .sum();
    let end_bytes = (own_resident_bytes()? - resident_before) / ends as f64;
    println!(
        "{instance_bytes} {instance_cpu_us} {} {end_bytes}",
        ends as f64 / count as f64
    );
    Ok(())
}

/// Bytes sent and received by all instances. Every byte sent is also received by another instance,
/// so the share of one instance in this sum is its own traffic in both directions.
fn total_bytes(instances: &[TestInstance]) -> u64 {
    instances
        .iter()
        .map(|instance| instance.traffic().sent_bytes() + instance.traffic().received_bytes())
        .sum()
}

fn own_resident_bytes() -> io::Result<f64> {
    resident_bytes(std::process::id())
}
