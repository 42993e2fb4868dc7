//! Starts the tasks of an instance and shuts them down in order.

use {
    crate::{
        Platform, Settings,
        drain::drain,
        follower, limit_news, membership, orders, origin_exchange, peer_watch, place_watch,
        recent_versions,
        servers::{relay, serve_calls, serve_queries},
        shared::Shared,
        suspects, target_probe,
    },
    eventlog::{Event, EventLog},
    feed::Feed,
    keyvalue::KeyValue,
    relay::{CallSource, boot_time},
    snafu::{ResultExt, Snafu},
    std::{io, net::SocketAddr, sync::Arc, time::Duration},
    supervisor::{
        Child, ChildResult, Restart, RestartLimit, Supervisor, SupervisorError, run_on_thread,
    },
    target::{Client, ClientSettings},
    tokio::{
        net::TcpListener,
        task::{JoinHandle, JoinSet},
        time::timeout,
    },
    tokio_util::sync::CancellationToken,
};

/// Timeout for connecting to a target.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time that an idle connection to a target is kept.
const CONNECTION_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Longest time that bytes sent to a target may stay unacknowledged.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(3);
/// Time before the forced kill that is reserved for writing the log.
const LOG_MARGIN: Duration = Duration::from_millis(100);

/// The instance cannot start or cannot continue.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// Binding a listener failed.
    #[snafu(display(
        "cannot listen on {address}: {source}; free the address or change it in the settings"
    ))]
    Listen {
        /// Address to listen on.
        address: SocketAddr,
        /// Error of the socket.
        source: io::Error,
    },
    /// The control thread failed.
    #[snafu(display(
        "the control thread failed: {source}; see the log, the platform restarts the instance"
    ))]
    Control {
        /// Error of the supervisor.
        source: SupervisorError,
    },
}

/// Runs an instance until `stop` is cancelled, then drains it.
///
/// # Errors
/// Returns [`StartError`] if the instance cannot start or its control thread keeps failing.
pub async fn run<Kv, Format>(
    settings: Settings,
    kv: Kv,
    format: Format,
    log: EventLog,
    stop: CancellationToken,
) -> Result<(), StartError>
where
    Kv: KeyValue,
    Format: Platform,
{
    log.emit(&Event::Started {
        instance: settings.instance.clone(),
        failure_domain: settings.failure_domain.clone(),
        version: env!("CARGO_PKG_VERSION"),
    });
    let call_listener = listen(settings.listen).await?;
    let readiness_listener = listen(settings.ready_listen).await?;
    let directory_listener = listen(settings.directory_listen).await?;
    let feed_listener = Arc::new(listen(settings.feed_listen).await?);
    let peer_listener = listen_if_set(settings.peer_listen).await?;
    let metrics_listener = listen_if_set(settings.metrics_listen).await?;
    let shared = Arc::new(Shared::new(settings, kv, format, log));
    let control_stop = CancellationToken::new();
    let control = tokio::spawn(run_on_thread(
        control_tree(&shared, feed_listener),
        control_stop.clone(),
    ));
    let mut servers = JoinSet::new();
    let stop_accepting = CancellationToken::new();
    let relay = relay(&shared, client());
    let call_listeners = [(call_listener, CallSource::Caller)].into_iter();
    let peer_listeners = peer_listener.map(|listener| (listener, CallSource::Instance));
    for (listener, source) in call_listeners.chain(peer_listeners) {
        servers.spawn(serve_calls(
            shared.clone(),
            relay.clone(),
            listener,
            source,
            stop_accepting.clone(),
        ));
    }
    for listener in [readiness_listener, directory_listener]
        .into_iter()
        .chain(metrics_listener)
    {
        servers.spawn(serve_queries(
            shared.clone(),
            listener,
            stop_accepting.clone(),
        ));
    }
    tokio::select! {
        () = stop.cancelled() => {}
        () = control_stop.cancelled() => {}
    }
    let stopping_since = boot_time();
    drain(&shared, &stop_accepting, &mut servers).await;
    control_stop.cancel();
    let control_deadline = stopping_since + shared.settings.grace.saturating_sub(LOG_MARGIN);
    let rest = control_deadline.saturating_sub(boot_time());
    let outcome = join_control(control, rest).await;
    let took = boot_time().saturating_sub(stopping_since);
    shared.log.emit(&Event::Stopped {
        reason: "asked to stop".to_owned(),
        took_ms: u64::try_from(took.as_millis()).unwrap_or(u64::MAX),
        cut_count: shared.relay_state.answer_cutoff.cut_count(),
    });
    outcome.context(ControlSnafu)
}

/// Waits up to `rest` for the control thread to end. What it cannot release in time, such as a
/// lease while the key-value service does not respond, expires by itself.
async fn join_control(
    control: JoinHandle<Result<(), SupervisorError>>,
    rest: Duration,
) -> Result<(), SupervisorError> {
    match timeout(rest, control).await {
        Ok(Ok(outcome)) => outcome,
        Ok(Err(error)) => {
            log::error!("failed to wait for the control thread: {error}");
            Ok(())
        }
        Err(_) => {
            log::warn!(
                "the control thread did not stop within {} ms; its lease expires by itself",
                rest.as_millis()
            );
            Ok(())
        }
    }
}

/// Builds the supervisor tree of the control thread.
fn control_tree<Kv, Format>(
    shared: &Arc<Shared<Kv, Format>>,
    feed_listener: Arc<TcpListener>,
) -> Supervisor
where
    Kv: KeyValue,
    Format: Platform,
{
    let limit = RestartLimit {
        restart_count: 20,
        window: Duration::from_secs(10),
    };
    let for_follower = shared.clone();
    let (for_membership, for_orders, for_places) = (shared.clone(), shared.clone(), shared.clone());
    let (for_peers, own_feed) = (shared.clone(), shared.feed.clone());
    let (for_recent_versions, for_suspects) = (shared.clone(), shared.clone());
    let (for_limits, for_origins) = (shared.clone(), shared.clone());
    let for_probes = shared.clone();
    let tree = Supervisor::new("control").restart_limit(limit);
    tree.child(Child::new("follower", move |token| {
        follower::follow(for_follower.clone(), token)
    }))
    .child(Child::new("membership", move |token| {
        membership::maintain(for_membership.clone(), token)
    }))
    .child(Child::new("places", move |token| {
        place_watch::watch(for_places.clone(), client(), token)
    }))
    .child(Child::new("peers", move |token| {
        peer_watch::watch(for_peers.clone(), token)
    }))
    .child(Child::new("recent versions", move |token| {
        recent_versions::mark(for_recent_versions.clone(), token)
    }))
    .child(Child::new("suspects", move |token| {
        suspects::report(for_suspects.clone(), token)
    }))
    .child(Child::new("limits", move |token| {
        limit_news::announce(for_limits.clone(), token)
    }))
    .child(Child::new("origins", move |token| {
        origin_exchange::run(for_origins.clone(), token)
    }))
    .child(Child::new("target probes", move |token| {
        target_probe::run(for_probes.clone(), token)
    }))
    .child(Child::new("feed", move |token| {
        serve_feed(feed_listener.clone(), own_feed.clone(), token)
    }))
    .child(
        Child::new("orders", move |token| {
            orders::run(for_orders.clone(), client(), token)
        })
        .restart(Restart::OnFailure),
    )
}

/// Serves this instance's feed to the other instances until `token` is cancelled.
async fn serve_feed(
    listener: Arc<TcpListener>,
    feed: Arc<Feed>,
    token: CancellationToken,
) -> ChildResult {
    feed::serve(listener, feed, token).await;
    Ok(())
}

fn client() -> Client {
    let settings = ClientSettings::default()
        .connect_timeout(CONNECT_TIMEOUT)
        .idle_timeout(CONNECTION_IDLE_TIMEOUT)
        .unacknowledged_timeout(UNACKNOWLEDGED_TIMEOUT);
    Client::new(settings)
}

async fn listen_if_set(address: Option<SocketAddr>) -> Result<Option<TcpListener>, StartError> {
    match address {
        Some(address) => listen(address).await.map(Some),
        None => Ok(None),
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address)
        .await
        .context(ListenSnafu { address })
}
