//! Reconciles engines with the state that the configuration asks for.

use {
    catalog::{Revision, Target},
    cluster::{Cluster, MemberState, OWNERS_COUNT},
    configuration::FollowerHandle,
    fleet::Fleet,
    keyvalue::KeyValue,
    orders::{
        LeaseHolderSettings, ObservedState, Order, OrderError, Reconciler, ReconcilerSettings,
        TargetControl,
    },
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    target::{Client, EngineClient, SendError},
    tokio::time::sleep,
    tokio_util::sync::CancellationToken,
};

/// Time between two reconciliation passes.
const RECONCILE_INTERVAL: Duration = Duration::from_millis(500);

/// Divisor of the lease's time to live that gives the safety margin: the holder stops that long
/// before the lease expires, and the next holder waits that long after it.
const LEASE_MARGIN_DIVISOR: u32 = 4;

/// Sends orders to engines over HTTP, and observes their state through their load reports.
#[derive(Clone)]
pub(crate) struct EngineControl {
    pub(crate) client: Client,
    pub(crate) fleet: Arc<Fleet>,
}

/// Reconciles the engines that this instance owns with their desired state until dropped.
#[derive(Clone)]
pub(crate) struct OrderWatch<Kv> {
    pub(crate) kv: Kv,
    pub(crate) lease_ttl: Duration,
    pub(crate) client: Client,
    pub(crate) cluster: Arc<Cluster>,
    pub(crate) configuration: FollowerHandle,
    pub(crate) fleet: Arc<Fleet>,
}

impl<Kv> OrderWatch<Kv>
where
    Kv: KeyValue,
{
    /// Runs reconciliation passes until `stop`, then releases the leases of all engines.
    pub(crate) async fn run(self, stop: CancellationToken) {
        let engine_control = EngineControl {
            client: self.client.clone(),
            fleet: self.fleet.clone(),
        };
        let holder = LeaseHolderSettings::new(self.cluster.own_member().instance)
            .ttl(self.lease_ttl, self.lease_ttl / LEASE_MARGIN_DIVISOR);
        let settings = ReconcilerSettings::new(holder);
        let mut reconciler = Reconciler::new(self.kv.clone(), engine_control, settings);
        while !stop.is_cancelled() {
            // A pass is never cancelled, so that it is known which orders were sent.
            self.reconcile_once(&mut reconciler).await;
            stop.run_until_cancelled(sleep(RECONCILE_INTERVAL)).await;
        }
        reconciler.resign().await;
    }

    /// Whether the instance list or the engine itself reports that it is leaving.
    fn is_leaving(&self, target: &str) -> bool {
        let view = self.fleet.view(target);
        view.is_some_and(|view| view.is_leaving())
    }

    async fn reconcile_once(&self, reconciler: &mut Reconciler<Kv, EngineControl>) {
        let catalog = self.configuration.catalog();
        let members = self.cluster.members();
        let own = self.cluster.own_member();
        let owns = |target: &String| {
            let owners = members.owners(target.as_bytes(), OWNERS_COUNT);
            let first_owner = owners.first();
            own.state == MemberState::Live
                && first_owner.is_some_and(|owner| owner.instance == own.instance)
                && !self.is_leaving(target)
        };
        let issued_orders = match reconciler.run_once(&catalog, owns).await {
            Ok(issued_orders) => issued_orders,
            Err(error) => return log::debug!("no orders were sent in this pass: {error}"),
        };
        for issued in issued_orders {
            log::info!(
                target: "decision",
                "decision=ordered target={} order={:?} fencing={} result={:?}",
                issued.planned.target, issued.planned.order, issued.fencing_token, issued.result
            );
        }
    }
}

impl TargetControl for EngineControl {
    async fn observe(&self, target: &Target) -> Result<ObservedState, OrderError> {
        // Uses the load report that is read for routing anyway, instead of another request.
        let view = self.fleet.view(&target.name);
        let view = view.filter(|view| view.is_reachable(Instant::now()));
        let report = view.and_then(|view| view.report());
        let report = report.ok_or_else(|| OrderError::NoAnswer {
            reason: "no load report lately".to_owned(),
        })?;
        Ok(ObservedState {
            version: report.version,
            adapters: report.adapters,
            role: report.role,
            leaving: report.leaving,
        })
    }

    async fn order(
        &self,
        target: &Target,
        fencing: Revision,
        order: &Order,
    ) -> Result<(), OrderError> {
        let engine = EngineClient::new(self.client.clone(), target.address);
        engine.order(fencing, order).await.map_err(order_error)?;
        Ok(())
    }
}

fn order_error(error: SendError) -> OrderError {
    let reason = error.to_string();
    match error {
        SendError::Refused { reason: kind, .. } if kind == "stale_fencing" => {
            OrderError::StaleFencing { newest: 0 }
        }
        error if error.not_run() => OrderError::Refused { reason },
        _ => OrderError::NoAnswer { reason },
    }
}
