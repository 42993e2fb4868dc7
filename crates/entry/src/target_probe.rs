//! Finds out when targets of pools from which this instance is cut off can be reached again.

use {
    crate::shared::Shared,
    futures::future::join_all,
    rand::seq::IteratorRandom,
    relay::View,
    std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration},
    supervisor::ChildResult,
    tokio::{
        net::TcpStream,
        time::{sleep, timeout},
    },
    tokio_util::sync::CancellationToken,
};

/// Interval between probes.
const PROBE_PERIOD: Duration = Duration::from_millis(300);
/// Timeout for connecting to a target.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Number of targets that are tried in each pool.
const PROBED_COUNT: usize = 2;

/// Probes pools from which this instance is cut off, until `token` is cancelled.
pub(crate) async fn run<Kv, Format>(
    shared: Arc<Shared<Kv, Format>>,
    token: CancellationToken,
) -> ChildResult {
    let mut known_cut_off = BTreeSet::new();
    loop {
        tokio::select! {
            () = token.cancelled() => return Ok(()),
            () = sleep(PROBE_PERIOD) => {}
        }
        let view = shared.relay_state.view();
        let reachability = &shared.relay_state.reachability;
        let cut_off = reachability.cut_off_pools(&view).into_iter().collect();
        report_changes(&shared, &known_cut_off, &cut_off);
        let probes = cut_off.iter().map(|pool| async {
            if reaches_any(&view, pool).await {
                reachability.record_reached(pool);
            }
        });
        join_all(probes).await;
        known_cut_off = cut_off;
    }
}

fn report_changes<Kv, Format>(
    shared: &Shared<Kv, Format>,
    before: &BTreeSet<String>,
    now: &BTreeSet<String>,
) {
    for pool in now.difference(before) {
        let reason = format!("no target of pool {pool} can be reached; other instances are asked");
        shared.report_dependency("targets", false, reason);
    }
    for pool in before.difference(now) {
        let reason = format!("targets of pool {pool} can be reached");
        shared.report_dependency("targets", true, reason);
    }
}

/// Whether one of some targets of the pool accepts a connection.
async fn reaches_any(view: &View, pool: &str) -> bool {
    let targets = view.targets_in_use(pool);
    let serving = targets.filter(|target| !target.is_leaving());
    let addresses = serving.map(|target| target.address);
    let chosen = addresses.sample(&mut rand::rng(), PROBED_COUNT);
    let probes = chosen.into_iter().map(accepts_connection);
    join_all(probes).await.contains(&true)
}

async fn accepts_connection(address: SocketAddr) -> bool {
    let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    matches!(connected, Ok(Ok(_)))
}
