//! A test instance that answers peers from memory.

use {
    catalog::{ClientAccountId, RequestId, Revision},
    cluster::{
        CatalogCopy, Cluster, DirectoryAnswer, DirectoryUpdate, Heartbeat, HeartbeatAck, Member,
        MemberState, PeerHandler, PeerKeys, Peers, TrafficCounters, serve,
    },
    decision::{Record, RecordBuffer, RecordBufferLimits, RecordPart},
    prefix::BlockKey,
    std::{
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
    tokio::net::TcpListener,
    tokio_util::sync::CancellationToken,
};

pub const KEY: &str = "0123456789abcdef0123456789abcdef";

/// Answers calls of peers. Clones share their state with the test.
#[derive(Clone)]
pub struct TestInstance {
    pub cluster: Arc<Cluster>,
    pub updates: Arc<Mutex<Vec<DirectoryUpdate>>>,
    pub ring: Arc<Mutex<RecordBuffer>>,
    /// Delay before a lookup is answered.
    pub lookup_delay: Duration,
    pub token: CancellationToken,
}

impl TestInstance {
    /// Starts an instance on a free port of the loopback interface.
    pub async fn start(name: &str, keys: &str, lookup_delay: Duration) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let peer_address = listener.local_addr().unwrap();
        let own = Member {
            instance: name.to_owned(),
            address: peer_address,
            peer_address,
            region: "region-0".to_owned(),
            failure_domain: format!("fd-{name}"),
            state: MemberState::Live,
            incarnation: 1,
        };
        let keys: PeerKeys = keys.parse().unwrap();
        let traffic = Arc::new(TrafficCounters::default());
        let peers = Peers::new(keys.clone(), traffic.clone());
        let instance = Self {
            cluster: Arc::new(Cluster::new(own, peers)),
            updates: Arc::default(),
            ring: Arc::new(Mutex::new(RecordBuffer::new(RecordBufferLimits::default()))),
            lookup_delay,
            token: CancellationToken::new(),
        };
        tokio::spawn(serve(
            listener,
            keys,
            instance.clone(),
            traffic,
            instance.token.clone(),
        ));
        instance
    }

    pub fn peers(&self) -> &Peers {
        self.cluster.peers()
    }
}

impl PeerHandler for TestInstance {
    async fn heartbeat(&self, heartbeat: Heartbeat) -> HeartbeatAck {
        self.cluster.handle_heartbeat(&heartbeat)
    }

    async fn lookup(&self, _: ClientAccountId, keys: Vec<BlockKey>) -> DirectoryAnswer {
        tokio::time::sleep(self.lookup_delay).await;
        DirectoryAnswer {
            seen_blocks_count: keys.len(),
            is_complete: true,
            ..DirectoryAnswer::default()
        }
    }

    async fn record(&self, updates: Vec<DirectoryUpdate>) {
        self.updates.lock().unwrap().extend(updates);
    }

    async fn replicate(&self, parts: Vec<RecordPart>) {
        let mut ring = self.ring.lock().unwrap();
        for part in parts {
            ring.merge(part, Instant::now());
        }
    }

    async fn decision(&self, request: RequestId) -> Option<Record> {
        self.ring.lock().unwrap().get(&request).cloned()
    }

    async fn catalog(&self, after: Revision) -> Option<CatalogCopy> {
        (after < 9).then(|| CatalogCopy {
            revision: 9,
            body: b"{}".to_vec(),
        })
    }
}
