//! Starts the tasks of an instance and shuts them down in order.

use {
    crate::{
        OwnShutdown, Platform, Settings,
        directory::{self, CALLER_REFRESH_TIME},
        follower, limit_news,
        listener::{self, FLUSH_TIME, ListenerControl},
        membership, orders, origin_exchange, peer_watch, place_watch, recent_versions,
        shared::Shared,
        suspects, target_probe,
    },
    eventlog::{Event, EventLog},
    feed::Feed,
    hyper::{Request, body::Incoming},
    keyvalue::KeyValue,
    relay::{CallSource, Relay, RelaySettings, boot_time},
    routes::CallLimits,
    snafu::{ResultExt, Snafu},
    std::{io, net::SocketAddr, sync::Arc, time::Duration},
    supervisor::{
        Child, ChildResult, Restart, RestartLimit, Supervisor, SupervisorError, run_on_thread,
    },
    target::{Client, ClientSettings},
    tokio::{
        net::TcpListener,
        task::{JoinHandle, JoinSet},
        time::{sleep, timeout},
    },
    tokio_util::sync::CancellationToken,
};

/// Timeout for connecting to a target.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time that an idle connection to a target is kept.
const CONNECTION_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Longest time that bytes sent to a target may stay unacknowledged.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(3);
/// Time for callers to learn the addresses of other instances before connections are refused. Some
/// callers cache a response for three times its maximum age.
const REDIRECT_TIME: Duration = Duration::from_millis(3_500);
/// Time before the forced kill at which responses in progress are cut off and the exit begins.
const EXIT_MARGIN: Duration = Duration::from_millis(300);
/// Time before the forced kill that is reserved for writing the log.
const LOG_MARGIN: Duration = Duration::from_millis(100);
/// Share of the version bound after which calls avoid older weights.
const OLD_WEIGHTS_SHARE: f64 = 0.8;
/// Share of the file descriptors that caller connections may use. The rest is for files,
/// connections to the key-value service and connections to targets.
const CALLER_DESCRIPTORS_SHARE: f64 = 0.6;
/// Share of the file descriptors that connections of other instances' calls may use.
const PEER_DESCRIPTORS_SHARE: f64 = 0.1;
/// Connections served concurrently on each of the listeners for readiness, addresses and metrics.
const MAX_QUERY_CONNECTIONS_COUNT: usize = 256;
/// Longest request head on those listeners, in bytes.
const MAX_QUERY_HEAD_BYTES: usize = 16 << 10;
/// Time that an idle connection to those listeners is kept.
const QUERY_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

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
    let relay = relay(&shared);
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

/// Directs callers to other instances, then returns once every call in progress has been answered.
/// The relay refuses calls that would not end in time; responses still in progress are cut off
/// shortly before the forced kill.
async fn drain<Kv, Format>(
    shared: &Shared<Kv, Format>,
    stop_accepting: &CancellationToken,
    servers: &mut JoinSet<()>,
) where
    Format: Platform,
{
    let grace_period = shared.settings.grace;
    let answers_time = grace_period.saturating_sub(EXIT_MARGIN);
    let now = boot_time();
    shared.log.emit(&Event::Draining {
        grace_ms: u64::try_from(grace_period.as_millis()).unwrap_or(u64::MAX),
    });
    shared.draining.cancel();
    let answer_deadline = now + answers_time;
    shared.known().begin_shutdown(OwnShutdown {
        instance: shared.settings.instance.clone(),
        started_at: now,
        grace_period,
        announced_at: now + CALLER_REFRESH_TIME.min(grace_period / 2),
        answer_deadline,
    });
    shared.publish();
    let _ = timeout(answers_time, redirect_callers(shared)).await;
    stop_accepting.cancel();
    let rest = answer_deadline.saturating_sub(boot_time());
    if timeout(rest, wait_for_servers(servers)).await.is_ok() {
        return;
    }
    log::warn!("calls in progress took too long; cutting off their responses");
    shared.relay_state.answer_cutoff.trigger();
    if timeout(FLUSH_TIME * 2, wait_for_servers(servers))
        .await
        .is_err()
    {
        log::warn!("some connections did not close in time; they close when the process exits");
    }
}

/// Waits until callers have had time to learn the addresses of other instances. While no other
/// instance is ready, callers have nowhere else to go, so this one keeps answering what it can.
async fn redirect_callers<Kv, Format>(shared: &Shared<Kv, Format>) {
    if shared.relay_state.view().route_table.is_none() {
        // Without a configuration this instance was never ready, so callers do not know it.
        return;
    }
    let redirect_time = REDIRECT_TIME.min(shared.settings.grace / 2);
    sleep(redirect_time).await;
    if shared.has_ready_peer() {
        return;
    }
    shared.wait_for_ready_peer().await;
    sleep(redirect_time).await;
}

async fn wait_for_servers(servers: &mut JoinSet<()>) {
    while servers.join_next().await.is_some() {}
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

/// Creates the relay that answers the calls of callers and of other instances.
fn relay<Kv, Format>(shared: &Shared<Kv, Format>) -> Relay<Format>
where
    Format: Platform,
{
    let settings = &shared.settings;
    let relay_settings = RelaySettings {
        failure_domain: settings.failure_domain.clone(),
        instance_seed: shared.instance_seed(),
        retry_bounds: settings.retries,
        stale_weights_grace: settings.version_bound.mul_f64(OLD_WEIGHTS_SHARE),
        max_buffered_bytes: settings.memory_bytes / 4,
    };
    Relay::new(
        relay_settings,
        shared.format.clone(),
        client(),
        shared.relay_state.clone(),
        shared.log.clone(),
        shared.meters.clone(),
    )
}

async fn serve_calls<Kv, Format>(
    shared: Arc<Shared<Kv, Format>>,
    relay: Relay<Format>,
    listener: TcpListener,
    source: CallSource,
    stop: CancellationToken,
) where
    Kv: KeyValue,
    Format: Platform,
{
    let settings = &shared.settings;
    let descriptors = f64::from(u32::try_from(settings.max_descriptors_count).unwrap_or(u32::MAX));
    let share = match source {
        CallSource::Caller => CALLER_DESCRIPTORS_SHARE,
        CallSource::Instance => PEER_DESCRIPTORS_SHARE,
    };
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let max_connections_count = (descriptors * share) as usize;
    let control = ListenerControl {
        max_connections_count,
        draining: shared.draining.clone(),
        stop,
        answer_cutoff: shared.relay_state.answer_cutoff.clone(),
    };
    let view = shared.relay_state.view.clone();
    let limits = move || {
        let table = view.load().route_table.clone();
        table.map(|table| table.config().limits).unwrap_or_default()
    };
    listener::serve(
        listener,
        control,
        limits,
        move |request: Request<Incoming>| {
            let relay = relay.clone();
            async move { relay.serve(request, source).await }
        },
    )
    .await;
}

async fn serve_queries<Kv, Format>(
    shared: Arc<Shared<Kv, Format>>,
    listener: TcpListener,
    stop: CancellationToken,
) where
    Kv: KeyValue,
    Format: Platform,
{
    let control = ListenerControl {
        max_connections_count: MAX_QUERY_CONNECTIONS_COUNT,
        draining: shared.draining.clone(),
        stop,
        answer_cutoff: shared.relay_state.answer_cutoff.clone(),
    };
    let limits = || CallLimits {
        max_head_bytes: MAX_QUERY_HEAD_BYTES,
        idle_timeout: QUERY_IDLE_TIMEOUT,
        ..CallLimits::default()
    };
    listener::serve(
        listener,
        control,
        limits,
        move |request: Request<Incoming>| {
            let answer = directory::answer(&shared, &request);
            async move { answer }
        },
    )
    .await;
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
