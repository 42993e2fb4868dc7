//! Tasks of the control thread. They follow the configuration, the instance list, peers and
//! targets, and publish the state for the traffic threads.

mod engine_watch;
mod instance_watch;
mod membership_watch;
mod order_watch;
mod peer_updates;
mod status_gauges;
mod store_watch;
mod target_watches;
mod tree;

pub(crate) use {
    engine_watch::EngineWatch,
    instance_watch::InstanceWatch,
    membership_watch::{FIRST_LIST_TIMEOUT, MembershipWatch},
    order_watch::OrderWatch,
    peer_updates::PeerUpdates,
    status_gauges::StatusGauges,
    store_watch::StoreWatch,
    target_watches::TargetWatches,
    tree::tree,
};
