//! Entry instances that follow the configuration.

use {
    super::naive::LastArrived,
    bytes::Bytes,
    configuration::{Follower, FollowerHandle, FollowerSettings, Snapshot},
    keyvalue::MemoryKv,
    std::{sync::Arc, time::Duration},
    tokio::task::AbortHandle,
};

/// What an instance publishes.
#[derive(Clone, Debug)]
pub enum Published {
    Real(FollowerHandle),
    Naive(LastArrived),
}

impl Published {
    pub fn snapshot(&self) -> Arc<Snapshot> {
        match self {
            Self::Real(handle) => handle.snapshot(),
            Self::Naive(naive) => Arc::new(naive.snapshot()),
        }
    }

    /// The bytes that a peer asks for.
    pub fn export(&self) -> Option<Bytes> {
        match self {
            Self::Real(handle) => handle.export(),
            Self::Naive(naive) => Some(naive.snapshot().to_json(Duration::ZERO)),
        }
    }

    /// Takes in what a peer sent.
    pub fn offer(&self, json: &Bytes) {
        let (snapshot, age) = Snapshot::from_json(json).expect("a peer's form");
        match self {
            Self::Real(handle) => {
                handle.offer(snapshot, age);
            }
            Self::Naive(naive) => naive.offer(snapshot),
        }
    }

    pub fn peers_asked(&self) {
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

/// One entry instance; a replacement has another number.
#[derive(Debug)]
pub struct Instance {
    pub number: usize,
    pub kv: MemoryKv,
    pub published: Published,
    pub cut_from_peers: bool,
    task: AbortHandle,
}

impl Instance {
    pub fn start(number: usize, kv: MemoryKv, is_naive: bool, seed: u64) -> Self {
        let (published, task) = if is_naive {
            let naive = LastArrived::default();
            let task = tokio::spawn(naive.clone().run(kv.clone()));
            (Published::Naive(naive), task)
        } else {
            let follower = Follower::new(kv.clone(), FollowerSettings::default()).seeded(seed);
            let handle = follower.handle();
            (Published::Real(handle), tokio::spawn(follower.run()))
        };
        Self {
            number,
            kv,
            published,
            cut_from_peers: false,
            task: task.abort_handle(),
        }
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.task.abort();
    }
}
