//! Starts the tasks of an instance and ends them in order.

use {
    crate::{
        OwnShutdown, Platform, Settings,
        directory::{self, CALLER_REFRESH_TIME},
        follower,
        listener::{self, FLUSH_TIME, ListenerControl},
        membership, orders, peer_watch, place_watch, recent_versions,
        shared::Shared,
    },
    eventlog::{Event, EventLog},
    feed::Feed,
    hyper::{Request, body::Incoming},
    keyvalue::KeyValue,
    relay::{Relay, RelaySettings, boot_time},
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

/// Longest time to open a connection to a target.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest time that an unused connection to a target is kept.
const CONNECTION_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Longest time that a target may leave sent bytes unacknowledged.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(3);
/// Time that callers get to learn other addresses before connections are refused: some keep an
/// answer for three times its age.
const REDIRECT_TIME: Duration = Duration::from_millis(3_500);
/// Time before the end by force at which answers in progress are cut and the exit begins.
const EXIT_MARGIN: Duration = Duration::from_millis(300);
/// Time before the end by force that is left for the log.
const LOG_MARGIN: Duration = Duration::from_millis(100);
/// Share of the version bound after which calls avoid older weights.
const OLD_WEIGHTS_SHARE: f64 = 0.8;
/// Descriptors kept for files, the service's connections and connections to targets, as a share.
const CALLER_DESCRIPTORS_SHARE: f64 = 0.6;
/// Connections of callers' and the platform's questions served at once.
const MAX_QUERY_CONNECTIONS_COUNT: usize = 256;
/// Longest head of a question, in bytes.
const MAX_QUERY_HEAD_BYTES: usize = 16 << 10;
/// Longest time that a connection for questions may stay unused.
const QUERY_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// An instance can't run.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// An address can't be listened on.
    #[snafu(display("{address} can't be listened on: {source}; free it or change the settings"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The socket's error.
        source: io::Error,
    },
    /// The control thread ended.
    #[snafu(display("{source}; see the log, the instance is started again"))]
    Control {
        /// Its error.
        source: SupervisorError,
    },
}

/// Runs an instance until `stop`, then drains it.
///
/// # Errors
/// [`StartError`] if it can't start or its control thread keeps failing.
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
    let metrics_listener = match settings.metrics_listen {
        Some(address) => Some(listen(address).await?),
        None => None,
    };
    let shared = Arc::new(Shared::new(settings, kv, format, log));
    let control_stop = CancellationToken::new();
    let control = tokio::spawn(run_on_thread(
        control_tree(&shared, feed_listener),
        control_stop.clone(),
    ));
    let mut servers = JoinSet::new();
    let stop_accepting = CancellationToken::new();
    servers.spawn(serve_calls(
        shared.clone(),
        call_listener,
        stop_accepting.clone(),
    ));
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
        cut_count: shared.followed.closing.cut_count(),
    });
    outcome.context(ControlSnafu)
}

/// Waits for the end of the control thread. What it can't give back within `rest`, such as a lease while the
/// key-value service is silent, lapses.
async fn join_control(
    control: JoinHandle<Result<(), SupervisorError>>,
    rest: Duration,
) -> Result<(), SupervisorError> {
    match timeout(rest, control).await {
        Ok(Ok(outcome)) => outcome,
        Ok(Err(error)) => {
            log::error!("the control thread ended early: {error}");
            Ok(())
        }
        Err(_) => {
            log::warn!("the control thread did not end in {} ms", rest.as_millis());
            Ok(())
        }
    }
}

/// Leads callers elsewhere, then ends once every call in progress has been answered. Calls that would not
/// end in time are refused by the relay; what is left of the others is cut shortly before the end by force.
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
        callers_informed_at: now + CALLER_REFRESH_TIME.min(grace_period / 2),
        answer_deadline,
    });
    shared.publish();
    let _ = timeout(answers_time, redirect_callers(shared)).await;
    stop_accepting.cancel();
    let rest = answer_deadline.saturating_sub(boot_time());
    if timeout(rest, wait_for_servers(servers)).await.is_ok() {
        return;
    }
    log::warn!("calls in progress took too long; their answers are cut");
    shared.followed.closing.begin();
    if timeout(FLUSH_TIME * 2, wait_for_servers(servers))
        .await
        .is_err()
    {
        log::warn!("connections are left open for the end of the process to close");
    }
}

/// Waits until callers have had the time to learn the addresses of other instances. While there are none,
/// callers have nowhere to go: what can still be answered is better answered here.
async fn redirect_callers<Kv, Format>(shared: &Shared<Kv, Format>) {
    if shared.followed.view().table.is_none() {
        // Callers were never told of this instance.
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

/// The tree of the control thread.
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
    let for_recent_versions = shared.clone();
    let tree = Supervisor::new("control").limit(limit);
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

/// Tells other instances what this one learns, until `token` is cancelled.
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
        .connect(CONNECT_TIMEOUT)
        .idle(CONNECTION_IDLE_TIMEOUT)
        .unacknowledged(UNACKNOWLEDGED_TIMEOUT);
    Client::new(settings)
}

async fn serve_calls<Kv, Format>(
    shared: Arc<Shared<Kv, Format>>,
    listener: TcpListener,
    stop: CancellationToken,
) where
    Kv: KeyValue,
    Format: Platform,
{
    let settings = &shared.settings;
    let relay_settings = RelaySettings {
        failure_domain: settings.failure_domain.clone(),
        retries: settings.retries,
        max_old_weights: settings.version_bound.mul_f64(OLD_WEIGHTS_SHARE),
        max_held_bytes: settings.memory_bytes / 4,
    };
    let relay = Relay::new(
        relay_settings,
        shared.format.clone(),
        client(),
        shared.followed.clone(),
        shared.log.clone(),
        shared.meters.clone(),
    );
    let descriptors = f64::from(u32::try_from(settings.max_descriptors_count).unwrap_or(u32::MAX));
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let max_connections_count = (descriptors * CALLER_DESCRIPTORS_SHARE) as usize;
    let control = ListenerControl {
        max_connections_count,
        draining: shared.draining.clone(),
        stop,
        closing: shared.followed.closing.clone(),
    };
    let view = shared.followed.view.clone();
    let limits = move || {
        let table = view.load().table.clone();
        table
            .map(|table| table.accepted().limits)
            .unwrap_or_default()
    };
    listener::serve(
        listener,
        control,
        limits,
        move |request: Request<Incoming>| {
            let relay = relay.clone();
            async move { relay.serve(request).await }
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
        closing: shared.followed.closing.clone(),
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

async fn listen(address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address)
        .await
        .context(ListenSnafu { address })
}
