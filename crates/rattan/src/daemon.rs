//! Starts the daemon, runs its control tasks in a supervisor tree, serves requests and drains.

use {
    crate::{
        Metrics, Settings,
        control::{self, FIRST_LIST_TIMEOUT},
        shared_state::SharedState,
    },
    cluster::TrafficCounters,
    gateway::{DrainSignal, Gateway, GatewaySettings},
    keyvalue::{EtcdKv, EtcdSettings, KeyValue},
    snafu::{ResultExt, Snafu},
    std::{io, net::SocketAddr, sync::Arc, time::Duration},
    supervisor::{SupervisorError, run_on_thread},
    tokio::{
        net::TcpListener,
        time::{sleep, timeout},
    },
    tokio_util::sync::CancellationToken,
};

/// How much longer than the maximum age of an address list connections are accepted while draining.
/// An instance that joins while this one leaves learns of that in its second heartbeat round, and
/// until then may still give this instance's address to callers.
const DRAIN_MARGIN: Duration = Duration::from_secs(3);
/// Longest time for answers in progress to finish after new connections are refused.
const FINISH_TIMEOUT: Duration = Duration::from_mins(10);
/// Longest wait before the exit for outcomes of claims that are still to be written.
const CLAIMS_TIMEOUT: Duration = Duration::from_secs(10);

/// Why the daemon cannot run.
#[derive(Debug, Snafu)]
pub enum DaemonError {
    /// The listener of an address cannot be opened.
    #[snafu(display(
        "{address} cannot be listened on: {source}; free it or change --listen or --peer-listen"
    ))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Error of the socket.
        source: io::Error,
    },
    /// The socket that metrics are sent from cannot be opened.
    #[snafu(display("metrics cannot be sent: {source}; change --metrics"))]
    Metrics {
        /// Error of the socket.
        source: io::Error,
    },
    /// The supervisor tree failed.
    #[snafu(display("{source}; see the log, the platform replaces this instance"))]
    Tree {
        /// Error of the tree.
        source: SupervisorError,
    },
}

/// Runs the daemon until `stop`, then drains it: tells peers and callers, goes on serving requests
/// for as long as callers may cache its address, and finishes answers in progress.
///
/// # Errors
/// [`DaemonError`] if the daemon cannot start, or if one of its control tasks keeps failing.
pub async fn run(settings: Settings, stop: CancellationToken) -> Result<(), DaemonError> {
    let metrics = Metrics::new(settings.metrics).context(MetricsSnafu)?;
    let address = settings.peer_listen;
    let peer_listener = TcpListener::bind(address)
        .await
        .context(ListenSnafu { address })?;
    let kv = EtcdKv::new(EtcdSettings {
        endpoints: settings.kv_endpoints.clone(),
        timeout: settings.kv_timeout,
    });
    let (keys, traffic) = (
        settings.peer_keys.clone(),
        Arc::new(TrafficCounters::default()),
    );
    let state = SharedState::new(settings, metrics, kv, traffic.clone());
    let control_token = CancellationToken::new();
    let control = run_on_thread(control::tree(&state), control_token.clone());
    // If the control thread fails, the instance drains and the platform replaces it.
    let drain_on_exit = stop.clone().drop_guard();
    let control = tokio::spawn(async move {
        let result = control.await;
        drop(drain_on_exit);
        result
    });
    let peer_server = tokio::spawn(cluster::serve(
        peer_listener,
        keys,
        state.peers.clone(),
        traffic,
        control_token.clone(),
    ));
    let serve_result = serve(&state, &stop).await;
    if timeout(CLAIMS_TIMEOUT, state.claims.wait_idle())
        .await
        .is_err()
    {
        log::warn!(
            "outcomes of some claims were not written in time; retries of their requests are told so"
        );
    }
    control_token.cancel();
    for ended in [
        control.await.map(|tree| tree.context(TreeSnafu)),
        peer_server.await.map(Ok),
    ] {
        match ended {
            Ok(result) => result?,
            Err(error) => log::error!("a task ended early: {error}"),
        }
    }
    serve_result
}

/// Serves callers once the configuration is known until `stop`, then drains.
async fn serve<Kv>(state: &SharedState<Kv>, stop: &CancellationToken) -> Result<(), DaemonError>
where
    Kv: KeyValue,
{
    let configuration = state.follower.handle();
    tokio::select! {
        () = configuration.ready() => {}
        () = stop.cancelled() => return Ok(()),
    }
    // Before the instance list has been read, callers would get this instance's address only.
    let mut listed = state.instances.subscribe();
    let _ = timeout(FIRST_LIST_TIMEOUT, listed.wait_for(|list| !list.is_empty())).await;
    drop(listed);
    let address = state.settings.listen;
    let gateway = Gateway::bind(gateway_settings(&state.settings), state.gateway_backend())
        .await
        .context(ListenSnafu { address })?;
    println!("listening on {}", gateway.address());
    let signal = DrainSignal::default();
    tokio::select! {
        () = gateway.run(signal.clone()) => {}
        () = drain(state, &signal, stop) => {
            log::error!("answers in progress took too long; stopping without them");
        }
    }
    Ok(())
}

/// Waits for `stop`, directs callers to other instances, and refuses connections once no caller can
/// have this instance's address cached. Returns after [`FINISH_TIMEOUT`] for answers in progress.
async fn drain<Kv>(state: &SharedState<Kv>, signal: &DrainSignal, stop: &CancellationToken) {
    stop.cancelled().await;
    log::info!("draining: new callers are directed to other instances");
    state.cluster.leave().await;
    signal.drain.cancel();
    sleep(state.settings.entries_max_age + DRAIN_MARGIN).await;
    log::info!("stopping: no new connections; finishing answers in progress");
    signal.stop.cancel();
    sleep(FINISH_TIMEOUT).await;
}

fn gateway_settings(settings: &Settings) -> GatewaySettings {
    GatewaySettings::default()
        .listen(settings.listen)
        .max_body_bytes(settings.max_body_bytes)
        .max_connections_count(settings.max_connections_count)
        .head_timeout(settings.head_timeout)
        .body_timeout(settings.body_timeout)
}
