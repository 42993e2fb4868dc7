//! Ways to hold a target: the one under test, and two naive ones.

use {
    catalog::Revision,
    keyvalue::{Compare, KeyValue, KvError, LeaseId, MemoryKv, Op, Txn},
    orders::{LeaseHolder, LeaseHolderSettings},
    std::{collections::BTreeSet, future::Future, time::Duration},
};

/// Name of the only target.
pub const TARGET: &str = "engine";
/// Time to live of leases.
pub const TTL: Duration = Duration::from_secs(10);
/// Margin of holders; longer than an order takes to arrive.
pub const MARGIN: Duration = Duration::from_secs(3);

/// Holds the target for one instance.
pub trait Tenancy: Send + 'static {
    /// Holds nothing yet.
    fn start(kv: MemoryKv, name: &str) -> Self;
    /// Renews, and takes the target or lets go of it.
    fn step(&mut self, wanted: bool) -> impl Future<Output = ()> + Send;
    /// Fencing number of an order that is sent now.
    fn fencing(&self, checks_fencing: bool) -> Option<Revision>;
}

/// The holder under test.
pub struct Watchful(LeaseHolder<MemoryKv>);

impl Tenancy for Watchful {
    fn start(kv: MemoryKv, name: &str) -> Self {
        let settings = LeaseHolderSettings::new(name.to_owned()).ttl(TTL, MARGIN);
        Self(LeaseHolder::new(kv, settings))
    }

    async fn step(&mut self, wanted: bool) {
        let targets: BTreeSet<String> = wanted.then(|| TARGET.to_owned()).into_iter().collect();
        if self.0.renew().await.is_ok() {
            let _ = self.0.sync(&targets).await;
        }
    }

    fn fencing(&self, checks_fencing: bool) -> Option<Revision> {
        self.0.fencing_token(&TARGET.to_owned(), checks_fencing)
    }
}

/// The holder under test, but a new one gives orders at once.
pub struct NoWait(Watchful);

impl Tenancy for NoWait {
    fn start(kv: MemoryKv, name: &str) -> Self {
        Self(Watchful::start(kv, name))
    }

    async fn step(&mut self, wanted: bool) {
        self.0.step(wanted).await;
    }

    fn fencing(&self, _checks_fencing: bool) -> Option<Revision> {
        self.0.fencing(true)
    }
}

/// Holds the target until the service says that its lease has lapsed.
pub struct ClockBlind {
    kv: MemoryKv,
    lease: Option<LeaseId>,
    fencing: Option<Revision>,
}

impl ClockBlind {
    async fn renew(&mut self) -> Result<LeaseId, KvError> {
        if let Some(lease) = self.lease {
            match self.kv.keep_alive(lease).await {
                Ok(_) => return Ok(lease),
                Err(KvError::Refused { .. }) => self.fencing = None,
                Err(error) => return Err(error),
            }
        }
        let lease = self.kv.grant(TTL).await?.id;
        self.lease = Some(lease);
        Ok(lease)
    }

    async fn take(&mut self, lease: LeaseId) -> Result<(), KvError> {
        let key = format!("/naive/{TARGET}");
        let create = Txn {
            compares: vec![Compare::Absent(key.clone())],
            success: vec![Op::Put(key, "".into(), Some(lease))],
            ..Txn::default()
        };
        let outcome = self.kv.txn(create).await?;
        if outcome.succeeded {
            self.fencing = Some(outcome.revision);
        }
        Ok(())
    }

    async fn let_go(&mut self) {
        self.fencing = None;
        if let Some(lease) = self.lease.take() {
            let _ = self.kv.revoke(lease).await;
        }
    }
}

impl Tenancy for ClockBlind {
    fn start(kv: MemoryKv, _name: &str) -> Self {
        Self {
            kv,
            lease: None,
            fencing: None,
        }
    }

    async fn step(&mut self, wanted: bool) {
        if !wanted {
            return self.let_go().await;
        }
        let Ok(lease) = self.renew().await else {
            return;
        };
        if self.fencing.is_none() {
            let _ = self.take(lease).await;
        }
    }

    fn fencing(&self, _checks_fencing: bool) -> Option<Revision> {
        self.fencing
    }
}
