//! A simulated entry instance that follows the configuration.

use {
    super::incorrect::LastArrived,
    bytes::Bytes,
    configuration::{Follower, FollowerHandle, FollowerSettings, Snapshot},
    keyvalue::MemoryKv,
    std::{sync::Arc, time::Duration},
    tokio::task::AbortHandle,
};

/// Source of the configuration that an instance publishes.
#[derive(Clone, Debug)]
pub enum ConfigurationSource {
    Real(FollowerHandle),
    Incorrect(LastArrived),
}

impl ConfigurationSource {
    pub fn snapshot(&self) -> Arc<Snapshot> {
        match self {
            Self::Real(handle) => handle.snapshot(),
            Self::Incorrect(follower) => Arc::new(follower.snapshot()),
        }
    }

    /// The snapshot as JSON for a peer.
    pub fn export(&self) -> Option<Bytes> {
        match self {
            Self::Real(handle) => handle.export(),
            Self::Incorrect(follower) => Some(follower.snapshot().to_json(Duration::ZERO)),
        }
    }

    /// Offers a snapshot from a peer.
    pub fn offer(&self, json: &Bytes) {
        let (snapshot, age) = Snapshot::from_json(json).expect("exported snapshots can be read");
        match self {
            Self::Real(handle) => {
                handle.offer(snapshot, age);
            }
            Self::Incorrect(follower) => follower.offer(snapshot),
        }
    }

    pub fn mark_peers_asked(&self) {
        if let Self::Real(handle) = self {
            handle.mark_peers_asked();
        }
    }

    pub async fn ready(&self) {
        if let Self::Real(handle) = self {
            handle.ready().await;
        }
    }
}

/// An entry instance. An instance that replaces it gets a different number.
#[derive(Debug)]
pub struct Instance {
    pub number: usize,
    pub kv: MemoryKv,
    pub source: ConfigurationSource,
    pub is_cut_from_peers: bool,
    task: AbortHandle,
}

impl Instance {
    pub fn start(number: usize, kv: MemoryKv, is_incorrect: bool, seed: u64) -> Self {
        let (source, task) = if is_incorrect {
            let follower = LastArrived::default();
            let task = tokio::spawn(follower.clone().run(kv.clone()));
            (ConfigurationSource::Incorrect(follower), task)
        } else {
            let follower = Follower::new(kv.clone(), FollowerSettings::default()).with_seed(seed);
            let handle = follower.handle();
            (
                ConfigurationSource::Real(handle),
                tokio::spawn(follower.run()),
            )
        };
        Self {
            number,
            kv,
            source,
            is_cut_from_peers: false,
            task: task.abort_handle(),
        }
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.task.abort();
    }
}
