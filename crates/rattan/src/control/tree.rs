//! The supervisor tree of the control thread.

use {
    super::{InstanceWatch, MembershipWatch, OrderWatch, PeerUpdates, StatusGauges, TargetWatches},
    crate::parts::Parts,
    keyvalue::{HttpInstanceList, KeyValue},
    supervisor::{Child, Supervisor},
};

/// The children of the control thread.
pub(crate) fn tree<Kv>(parts: &Parts<Kv>) -> Supervisor
where
    Kv: KeyValue,
{
    let follower = parts.follower.clone();
    let instances = InstanceWatch {
        list: HttpInstanceList::new(parts.settings.instance_list, parts.settings.kv_timeout),
        fleet: parts.fleet.clone(),
        instances: parts.instances.clone(),
    };
    let membership = MembershipWatch {
        cluster: parts.cluster.clone(),
        instances: parts.instances.clone(),
        configuration: follower.handle(),
    };
    let updates = PeerUpdates {
        peers: parts.peers.clone(),
        outgoing: parts.outgoing.clone(),
    };
    let targets = TargetWatches {
        configuration: follower.handle(),
        client: parts.client.clone(),
        fleet: parts.fleet.clone(),
        blocks: parts.blocks.clone(),
        gate: parts.gate.clone(),
        load_interval: parts.settings.load_interval,
    };
    let orders = OrderWatch {
        lease: parts.settings.order_lease,
        kv: parts.kv.clone(),
        client: parts.client.clone(),
        cluster: parts.cluster.clone(),
        configuration: follower.handle(),
        fleet: parts.fleet.clone(),
    };
    let gauges = StatusGauges {
        metrics: parts.metrics.clone(),
        configuration: follower.handle(),
        cluster: parts.cluster.clone(),
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

/// A child that runs until it is cancelled.
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
