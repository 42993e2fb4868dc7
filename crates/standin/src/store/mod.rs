//! The store instance: blocks in memory and on a simulated disk, behind a limited link.

mod api;
mod blocks;
mod faults;
mod ledger;

pub use {
    blocks::{BlockInfo, BlockState, Blocks, StoreError, Tier},
    faults::StoreFaults,
    ledger::StoreLedger,
};

use {
    crate::{
        Link,
        faults::FaultSwitches,
        http::Answer,
        server::{Role, Server},
        sync::lock,
    },
    hyper::{Request, body::Incoming},
    std::{
        io,
        net::{Ipv4Addr, SocketAddr},
        sync::{Arc, Mutex, MutexGuard},
    },
};

/// Settings of a store instance.
#[derive(Clone, Copy, Debug)]
pub struct StoreSettings {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Capacity of memory in bytes.
    pub memory_bytes: u64,
    /// Capacity of the disk in bytes.
    pub disk_bytes: u64,
    /// Rate of the link in bytes per second; 0 means no limit.
    pub link_bytes_per_s: u64,
    /// Factor applied to every simulated delay; 0.1 is ten times as fast.
    pub time_scale: f64,
    /// Answers reads with any bytes of the key: of blocks being written, of another generation, or
    /// freed. Used to verify that the tests detect such reads.
    pub unsafe_reads: bool,
}

impl Default for StoreSettings {
    fn default() -> Self {
        Self {
            listen: (Ipv4Addr::LOCALHOST, 0).into(),
            memory_bytes: 64 << 20,
            disk_bytes: 256 << 20,
            link_bytes_per_s: 0,
            time_scale: 1.0,
            unsafe_reads: false,
        }
    }
}

/// A store instance.
#[derive(Debug)]
pub struct Store {
    settings: StoreSettings,
    switches: FaultSwitches<StoreFaults>,
    link: Link,
    blocks: Mutex<Blocks>,
    ledger: Mutex<StoreLedger>,
}

impl Store {
    /// Starts an empty store instance.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub async fn start(settings: StoreSettings) -> io::Result<Server<Self>> {
        let store = Arc::new(Self {
            settings,
            switches: FaultSwitches::default(),
            link: Link::new(settings.link_bytes_per_s, settings.time_scale),
            blocks: Mutex::new(Blocks::new(settings.memory_bytes, settings.disk_bytes)),
            ledger: Mutex::default(),
        });
        Server::start(settings.listen, store).await
    }

    /// Counts of reads and writes, for tests to check.
    #[must_use]
    pub fn ledger(&self) -> StoreLedger {
        lock(&self.ledger).clone()
    }

    /// All blocks in key order.
    #[must_use]
    pub fn list(&self) -> Vec<BlockInfo> {
        self.blocks().list("", usize::MAX)
    }

    fn blocks(&self) -> MutexGuard<'_, Blocks> {
        lock(&self.blocks)
    }

    fn record(&self, change: impl FnOnce(&mut StoreLedger)) {
        change(&mut lock(&self.ledger));
    }
}

impl Role for Store {
    type Faults = StoreFaults;

    fn switches(&self) -> &FaultSwitches<StoreFaults> {
        &self.switches
    }

    fn faults_changed(&self) {
        if let Some(rate) = self.switches.get().link_bytes_per_s {
            self.link.set_bytes_per_s(rate);
        }
    }

    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Answer {
        api::answer(self, request).await
    }
}
