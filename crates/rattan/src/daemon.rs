//! The daemon: builds its state and runs them in a supervisor tree.

use {
    crate::{
        Metrics, Settings,
        control::{self, FIRST_LIST_TIMEOUT},
        shared_state::SharedState,
    },
    cluster::Traffic,
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

/// Time that callers get beyond the age of their address answer before connections are refused. An
/// instance that joins while this one leaves learns of it by its second round of heartbeats, and
/// until then may name this one to callers.
const DRAIN_MARGIN: Duration = Duration::from_secs(3);
/// Longest time that answers in progress get after that.
const FINISH_TIMEOUT: Duration = Duration::from_mins(10);
/// Longest time that outcomes of claims still to be written get before the exit.
const CLAIMS_TIMEOUT: Duration = Duration::from_secs(10);

/// The daemon cannot run.
#[derive(Debug, Snafu)]
pub enum DaemonError {
    /// An address cannot be listened on.
    #[snafu(display(
        "{address} cannot be listened on: {source}; free it or change --listen or --peer-listen"
    ))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The socket's error.
        source: io::Error,
    },
    /// Metrics cannot be sent.
    #[snafu(display("metrics cannot be sent: {source}; change --metrics"))]
    Metrics {
        /// The socket's error.
        source: io::Error,
    },
    /// The supervisor tree failed.
    #[snafu(display("{source}; see the log, the platform replaces this instance"))]
    Tree {
        /// The tree's error.
        source: SupervisorError,
    },
}

/// Runs the daemon until `stop`, then drains it: peers and callers are told, requests are served
/// for as long as callers may hold its address, answers in progress are finished.
///
/// # Errors
/// [`DaemonError`] if it cannot start, or if a part keeps failing.
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
    let (keys, traffic) = (settings.peer_keys.clone(), Arc::new(Traffic::default()));
    let state = SharedState::new(settings, metrics, kv, traffic.clone());
    let control_token = CancellationToken::new();
    let control = run_on_thread(control::tree(&state), control_token.clone());
    // An instance whose control thread has failed drains; the platform replaces it.
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
        log::warn!("some claims are left as they are; their requests are told so when retried");
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

/// Serves callers from the moment the configuration is known until `stop`, then drains.
async fn serve<Kv>(state: &SharedState<Kv>, stop: &CancellationToken) -> Result<(), DaemonError>
where
    Kv: KeyValue,
{
    let configuration = state.follower.handle();
    tokio::select! {
        () = configuration.ready() => {}
        () = stop.cancelled() => return Ok(()),
    }
    // Until the instance list was read, callers would be told of this instance only.
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

/// Waits for `stop`, leads callers elsewhere and stops accepting them once none can hold this
/// instance's address any more. Ends when answers in progress have had their time.
async fn drain<Kv>(state: &SharedState<Kv>, signal: &DrainSignal, stop: &CancellationToken) {
    stop.cancelled().await;
    log::info!("draining: new callers are led elsewhere");
    state.cluster.leave().await;
    signal.drain.cancel();
    sleep(state.settings.entries_max_age + DRAIN_MARGIN).await;
    log::info!("stopping: answers in progress are finished");
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
