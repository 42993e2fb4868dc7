//! Ways to hold a target: the lease holder under test, and two faulty ones that the tests must
//! catch.

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
/// Margin of lease holders; longer than an order takes to arrive.
pub const MARGIN: Duration = Duration::from_secs(3);

/// One instance's hold on the target.
pub trait TargetHold: Send + 'static {
    /// Starts without holding the target.
    fn start(kv: MemoryKv, name: &str) -> Self;
    /// Renews the lease, and acquires the target if wanted or releases it otherwise.
    fn step(&mut self, wanted: bool) -> impl Future<Output = ()> + Send;
    /// Returns the fencing token for an order that is sent now, if one may be sent.
    fn fencing_token(&self, checks_fencing: bool) -> Option<Revision>;
}

/// The lease holder under test.
pub struct RealHold(LeaseHolder<MemoryKv>);

impl TargetHold for RealHold {
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

    fn fencing_token(&self, checks_fencing: bool) -> Option<Revision> {
        self.0.fencing_token(&TARGET.to_owned(), checks_fencing)
    }
}

/// The lease holder under test, except that a new holder gives orders without waiting.
pub struct NoWaitHold(RealHold);

impl TargetHold for NoWaitHold {
    fn start(kv: MemoryKv, name: &str) -> Self {
        Self(RealHold::start(kv, name))
    }

    async fn step(&mut self, wanted: bool) {
        self.0.step(wanted).await;
    }

    fn fencing_token(&self, _checks_fencing: bool) -> Option<Revision> {
        self.0.fencing_token(true)
    }
}

/// Holds the target until the service reports that the lease has expired, without a clock of its
/// own.
pub struct ClocklessHold {
    kv: MemoryKv,
    lease: Option<LeaseId>,
    fencing_token: Option<Revision>,
}

impl ClocklessHold {
    async fn renew(&mut self) -> Result<LeaseId, KvError> {
        if let Some(lease) = self.lease {
            match self.kv.keep_alive(lease).await {
                Ok(_) => return Ok(lease),
                Err(KvError::Refused { .. }) => self.fencing_token = None,
                Err(error) => return Err(error),
            }
        }
        let lease = self.kv.grant(TTL).await?.id;
        self.lease = Some(lease);
        Ok(lease)
    }

    async fn acquire(&mut self, lease: LeaseId) -> Result<(), KvError> {
        let key = format!("/naive/{TARGET}");
        let create = Txn {
            compares: vec![Compare::Absent(key.clone())],
            success: vec![Op::Put(key, "".into(), Some(lease))],
            ..Txn::default()
        };
        let outcome = self.kv.txn(create).await?;
        if outcome.succeeded {
            self.fencing_token = Some(outcome.revision);
        }
        Ok(())
    }

    async fn release(&mut self) {
        self.fencing_token = None;
        if let Some(lease) = self.lease.take() {
            let _ = self.kv.revoke(lease).await;
        }
    }
}

impl TargetHold for ClocklessHold {
    fn start(kv: MemoryKv, _name: &str) -> Self {
        Self {
            kv,
            lease: None,
            fencing_token: None,
        }
    }

    async fn step(&mut self, wanted: bool) {
        if !wanted {
            return self.release().await;
        }
        let Ok(lease) = self.renew().await else {
            return;
        };
        if self.fencing_token.is_none() {
            let _ = self.acquire(lease).await;
        }
    }

    fn fencing_token(&self, _checks_fencing: bool) -> Option<Revision> {
        self.fencing_token
    }
}
