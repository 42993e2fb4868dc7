//! The supervisor tree of the control thread.

use {
    super::{InstanceWatch, MembershipWatch, OrderWatch, PeerUpdates, StatusGauges, TargetWatches},
    crate::shared_state::SharedState,
    keyvalue::{HttpInstanceList, KeyValue},
    supervisor::{Child, Supervisor},
};

/// Builds the supervisor with all tasks of the control thread.
pub(crate) fn tree<Kv>(state: &SharedState<Kv>) -> Supervisor
where
    Kv: KeyValue,
{
    let follower = state.follower.clone();
    let instances = InstanceWatch {
        list: HttpInstanceList::new(state.settings.instance_list, state.settings.kv_timeout),
        fleet: state.fleet.clone(),
        instances: state.instances.clone(),
    };
    let membership = MembershipWatch {
        cluster: state.cluster.clone(),
        instances: state.instances.clone(),
        configuration: follower.handle(),
        admission: state.admission.clone(),
    };
    let updates = PeerUpdates {
        peers: state.peers.clone(),
        outgoing: state.outgoing.clone(),
    };
    let targets = TargetWatches {
        configuration: follower.handle(),
        client: state.client.clone(),
        fleet: state.fleet.clone(),
        directory: state.directory.clone(),
        admission: state.admission.clone(),
        load_interval: state.settings.load_interval,
    };
    let orders = OrderWatch {
        lease_ttl: state.settings.order_lease,
        kv: state.kv.clone(),
        client: state.client.clone(),
        cluster: state.cluster.clone(),
        configuration: follower.handle(),
        fleet: state.fleet.clone(),
    };
    let gauges = StatusGauges {
        metrics: state.metrics.clone(),
        configuration: follower.handle(),
        cluster: state.cluster.clone(),
    };
    Supervisor::new("control")
        .child(until_cancelled("configuration", move || {
            follower.clone().run()
        }))
        .child(until_cancelled("instances", move || {
            instances.clone().run()
        }))
        .child(until_cancelled("membership", move || {
            membership.clone().run()
        }))
        .child(until_cancelled("updates", move || updates.clone().run()))
        .child(until_cancelled("gauges", move || gauges.clone().run()))
        .child(until_cancelled("targets", move || targets.clone().run()))
        .child(Child::new("orders", move |token| {
            let orders = orders.clone();
            async move {
                orders.run(token).await;
                Ok(())
            }
        }))
}

/// Returns a child whose task is dropped on cancellation.
fn until_cancelled<Start, Task>(name: &str, start: Start) -> Child
where
    Start: Fn() -> Task + Send + Sync + 'static,
    Task: Future<Output = ()> + Send + 'static,
{
    Child::new(name, move |token| {
        let task = start();
        async move {
            token.run_until_cancelled(task).await;
            Ok(())
        }
    })
}
